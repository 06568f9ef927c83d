"""Bounds what clients can make a process keep and do: bytes, connections and work."""
