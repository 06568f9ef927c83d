"""The store of durable state: its interface, its clients and an in-memory implementation."""
