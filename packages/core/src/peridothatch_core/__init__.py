"""Data classes and decisions of peridothatch; no I/O."""
