"""Whole answers, retries and at-most-once claims."""
