"""Decisions on the calls of clients that submit, query and cancel jobs."""
