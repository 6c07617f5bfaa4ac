"""Filters that accept or refuse what callers and operators send."""
