"""Benchmarks that run on loopback, most with real processes."""
