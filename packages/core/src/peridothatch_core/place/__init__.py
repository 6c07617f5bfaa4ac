"""Filters that place gangs on workers and keep guarantees formable."""
