"""Tests of real daemons on loopback that are killed, frozen or in races."""
