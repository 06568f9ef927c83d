"""Duties of one router at a time: the lease that decides which, and the usage report."""
