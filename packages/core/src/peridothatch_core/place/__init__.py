"""Filters that place gangs on workers and keep guaranteed gangs reclaimable."""
