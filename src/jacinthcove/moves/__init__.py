"""Version moves: canary share, fault detection and steps."""
