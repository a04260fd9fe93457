"""The state machine that combines the rules of all others."""

from __future__ import annotations

from fuzzing.batch_machine import BatchRules
from fuzzing.request_machine import RequestRules
from fuzzing.tables_machine import TablesRules


class CombinedMachine(BatchRules, RequestRules, TablesRules):
    """Mix jobs, requests, edits and membership changes under all faults."""
