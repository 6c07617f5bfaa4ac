"""Decisions of the agent that supervises the runs on one worker."""
