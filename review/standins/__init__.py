"""Stand-ins for the platform, the runners and the consumers, for the cases of the review."""
