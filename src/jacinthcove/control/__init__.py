"""The controller: its lease, orders to targets, the stored configuration, the admin API."""
