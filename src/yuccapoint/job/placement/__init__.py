"""Placement policies, which select a VM for a job."""

from __future__ import annotations
