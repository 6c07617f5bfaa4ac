"""Data classes shared by the decision modules."""
