"""Commits of agents through entries, which group them."""
