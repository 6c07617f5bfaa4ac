"""Filters that start gangs whole and keep their leases."""
