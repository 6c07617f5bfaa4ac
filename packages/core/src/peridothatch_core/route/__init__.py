"""Routing of requests from entries through agents to backend servers."""
