"""Messages that peridothatch processes exchange, free of any encoding."""
