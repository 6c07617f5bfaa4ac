"""Filters that start gangs all-or-nothing and maintain their leases."""
