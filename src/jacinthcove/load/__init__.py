"""Load generator, experiments on a fleet, and reports."""
