"""Starts local fleets of real processes for the demo, features, benchmarks and experiments."""
