"""Weighted fair queueing of requests over shards of targets."""
