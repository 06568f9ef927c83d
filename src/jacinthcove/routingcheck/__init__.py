"""Checks of a routing configuration before an operator sends it."""
