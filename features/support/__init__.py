"""What the steps share: a fleet with fast stand-ins, callers and readers of logs and counters."""
