"""Decisions of an agent that keeps the runs of one worker."""
