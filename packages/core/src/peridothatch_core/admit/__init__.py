"""Filters that validate requests, jobs and configuration changes."""
