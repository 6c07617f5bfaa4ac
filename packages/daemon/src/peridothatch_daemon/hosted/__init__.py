"""The processes on the users' platform: tasks around the decisions of the core."""
