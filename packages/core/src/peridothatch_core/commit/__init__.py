"""Group commit: transactions of many agents in one transaction of the store."""
