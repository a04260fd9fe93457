"""Real processes of a cell on loopback, under faults from outside them."""
