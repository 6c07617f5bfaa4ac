"""Data classes shared by every decision."""
