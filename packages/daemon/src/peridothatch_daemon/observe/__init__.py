"""State dump, metrics and logs."""
