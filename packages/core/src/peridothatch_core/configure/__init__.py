"""Filters that order and apply configuration changes."""
