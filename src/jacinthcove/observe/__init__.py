"""Structured logs and metrics."""
