"""Decisions on the calls of callers about jobs."""
