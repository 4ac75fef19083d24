"""Tests of bilberry_core."""
