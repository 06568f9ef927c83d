"""The controller: lease, orders, acceptance and administration API."""
