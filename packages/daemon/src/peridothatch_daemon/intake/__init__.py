"""Sources: HTTP and links, bytes to messages."""
