"""Adapter between the users' platform and the product; only this package uses platform names."""
