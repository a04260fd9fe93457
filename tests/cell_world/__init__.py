"""A cell on virtual time: store, workers, agents, entries and an oracle."""
