"""Adapters between yuccapoint and the users' platform; no decision logic."""
