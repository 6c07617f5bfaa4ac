"""Limits of connections of clients: of one connection, and of all in a process."""
