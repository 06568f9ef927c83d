"""Run the demo."""
