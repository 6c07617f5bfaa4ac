"""Filters that track which agents and entries are alive."""
