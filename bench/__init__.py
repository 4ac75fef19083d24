"""Benches: real processes on loopback, compared in one run."""
