"""The protocol between routers: transport, membership and document distribution."""
