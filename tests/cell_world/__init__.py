"""Simulation of a cell: store, workers, agents, entries and an oracle."""
