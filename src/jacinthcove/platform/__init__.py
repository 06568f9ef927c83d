"""Clients of the platform: its object API and its VM list."""
