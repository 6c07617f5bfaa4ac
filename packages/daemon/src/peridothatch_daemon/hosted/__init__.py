"""Entry and agent processes for the users' platform, built from tasks around the core."""
