"""Forwarding of opaque HTTP requests to targets: routing, placement, limits and delivery."""
