"""Filters that select the connections between agents and entries."""
