"""Translates between yuccapoint and the users' platform; decides nothing."""
