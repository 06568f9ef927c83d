"""The router daemon and its caller API."""
