"""Tasks that own the state of a filter and run its decision function on each message."""
