"""A router fleet that shares model engines and services fairly between workspaces."""
