"""Tests of bilberry_spread."""
