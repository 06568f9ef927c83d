"""Target state, concurrency limits and HTTP clients for targets."""
