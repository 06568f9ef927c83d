"""Version moves: gradual traffic shift to a new version, fault detection and rollback."""
