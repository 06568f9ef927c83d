"""The router daemon and its HTTP API for callers."""
