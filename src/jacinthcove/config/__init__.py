"""Fleet configuration and process settings."""
