"""Benches, run by make."""
