"""Filters that order waiting jobs by slack to their target."""
