"""A small fleet on loopback: the launcher, a caller and the demonstration."""
