"""Decisions of the scheduler of jobs of steps."""
