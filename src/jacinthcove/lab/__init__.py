"""Policy lab: simulates model engines and runs the real router decisions in virtual time."""
