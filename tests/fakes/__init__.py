"""Fake implementations of interfaces, shared by tests."""
