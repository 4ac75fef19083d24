"""A randomized soak test of real daemons under injected faults."""
