"""Fair scheduling of requests over shards of targets."""
