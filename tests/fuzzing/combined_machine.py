"""Everything at once."""

from __future__ import annotations

from fuzzing.batch_machine import BatchRules
from fuzzing.request_machine import RequestRules
from fuzzing.tables_machine import TablesRules


class CombinedMachine(BatchRules, RequestRules, TablesRules):
    """Jobs, requests, edits and membership under all faults."""
