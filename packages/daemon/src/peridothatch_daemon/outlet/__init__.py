"""Sinks: messages to the store, agents, workers and backend servers."""
