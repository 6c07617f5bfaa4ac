"""Scheduler for jobs that consist of steps: pure functions over the leader's state."""
