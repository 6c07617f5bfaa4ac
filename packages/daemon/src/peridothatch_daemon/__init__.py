"""The peridothatchd daemon: entry and agent processes."""
