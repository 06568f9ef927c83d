"""Target state, limits and HTTP clients."""
