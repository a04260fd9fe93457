"""Policies that choose a VM for a job."""

from __future__ import annotations
