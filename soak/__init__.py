"""A randomized fault soak of the real router processes on loopback."""
