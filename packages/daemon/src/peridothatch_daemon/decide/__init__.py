"""Tasks that own a state and run a decision on each message."""
