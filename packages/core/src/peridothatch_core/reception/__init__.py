"""Decisions on the calls of consumers about jobs."""
