"""Tests of real daemons on loopback, through deaths, freezes and races."""
