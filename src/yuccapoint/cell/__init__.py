"""Scheduling of multi-step jobs in one cell: records, leader and agents."""
