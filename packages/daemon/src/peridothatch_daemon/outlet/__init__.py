"""Sinks: clients that send to the table service, the worker and the backend server."""
