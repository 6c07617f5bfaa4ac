"""The peridothatch command-line client."""
