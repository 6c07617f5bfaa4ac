"""State dumps, metrics and structured logs."""
