"""Filters that explain decisions and promises."""
