"""Filters that report on jobs and on the targets and guarantees of customers."""
