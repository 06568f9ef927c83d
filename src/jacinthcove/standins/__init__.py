"""Simulated targets and platform services for tests and the demo."""
