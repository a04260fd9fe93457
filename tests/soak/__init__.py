"""Soak test: a cell's processes on loopback under injected faults."""
