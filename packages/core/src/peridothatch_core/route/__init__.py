"""Filters that route requests to backend servers."""
