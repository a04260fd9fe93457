"""Jobs of several steps, kept in one cell: its records, leader and VMs."""
