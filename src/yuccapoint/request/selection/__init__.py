"""Policies that choose an endpoint for a request."""

from __future__ import annotations
