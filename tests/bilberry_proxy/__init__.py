"""Tests of the proxy."""
