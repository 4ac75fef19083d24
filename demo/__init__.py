"""Launches a small fleet on loopback and demonstrates changes and failures."""
