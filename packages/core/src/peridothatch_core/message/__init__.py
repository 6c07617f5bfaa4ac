"""Messages between peridothatch processes, independent of their encoding."""
