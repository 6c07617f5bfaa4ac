"""Stand-ins for the platform, run as separate programs in tests and the demo."""
