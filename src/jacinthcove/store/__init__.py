"""The store of durable state: its interface, clients and an in-memory form."""
