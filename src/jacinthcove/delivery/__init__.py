"""Delivery of responses: stream relay and resume, retries, and at-most-once claims."""
