"""Tests of real daemons on loopback under crashes, freezes and races."""
