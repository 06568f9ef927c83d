"""The fleet configuration and the settings of the processes."""
