"""Tests of the computations in the benches."""
