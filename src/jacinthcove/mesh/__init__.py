"""The protocol between routers: transport, membership and document spread."""
