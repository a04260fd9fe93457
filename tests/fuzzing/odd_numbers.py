"""Digits that are no number, where a number is read from text."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPServerRequest

from fuzzing.decode_sites import INSTANCE
from fuzzing.decode_sites import JOB_ID
from fuzzing.decode_sites import sample_submission
from yuccapoint.bench.run_records import RunRecords
from yuccapoint.cell.cell_leader import CellLeader
from yuccapoint.cell.cell_view import CellView
from yuccapoint.cell.occurrence_state import OccurrenceState
from yuccapoint.cell.occurrence_state import Outcome
from yuccapoint.connection.entry_directory import split_entry_id
from yuccapoint.platform import job_api
from yuccapoint.process.caller_server import content_length
from yuccapoint.process.settings import sections

if TYPE_CHECKING:
    from collections.abc import Callable

# Superscript, circled, full-width and Arabic-Indic digits, and numbers that
# int() or later arithmetic refuses.
ODD_NUMBERS = ("\u00b2", "\u2460", "\uff11", "\u0661", "9" * 400, "9" * 5_000)


def _find_task(text: str) -> None:
    view = CellView()
    view.apply(f"s:{JOB_ID}", sample_submission(), 1)
    leader = CellLeader("e-0", "", 1, 0.0)
    leader.load(view, 0.0)
    assert leader.find_task(f"{JOB_ID}.0.0.0") is not None
    assert leader.find_task(f"{JOB_ID}.{text}.0.0") is None
    assert leader.find_task(f"{JOB_ID}.0.0.{text}") is None


def _apply_state(text: str) -> None:
    view = CellView()
    view.apply(f"s:{JOB_ID}", sample_submission(), 1)
    state = OccurrenceState(Outcome.OPEN, [INSTANCE], [])
    view.apply(f"p:{JOB_ID}.{text}", state, 2)
    assert not view.jobs[JOB_ID].occurrences


def _read_deadline(text: str) -> None:
    headers = HTTPHeaders({job_api.DEADLINE_HEADER: text})
    request = HTTPServerRequest("GET", "/", headers=headers)
    wait_s = job_api._deadline_s(request) - time.monotonic()
    assert 0 < wait_s < 4, wait_s


def _split_entry(text: str) -> None:
    assert split_entry_id(f"a@{text}") == ("a", 0)


def _read_length(text: str) -> None:
    assert content_length(HTTPHeaders({"Content-Length": text})) is None


def _check_address(text: str) -> None:
    try:
        sections._check_address(f"127.0.0.1:{text}")
    except ValueError as error:
        assert "should have a port" in str(error), error
        return
    raise AssertionError("the address is accepted")


def _add_version(text: str) -> None:
    records: Any = RunRecords.__new__(RunRecords)
    records.versions = []
    records._add_version(1.0, f"version {text} installed")
    assert not records.versions


PLACES: dict[str, Callable[[str], None]] = {
    "the id of a task": _find_task,
    "the key of a state": _apply_state,
    "a deadline": _read_deadline,
    "the id of an entry": _split_entry,
    "the length of a body": _read_length,
    "the address of a peer": _check_address,
    "a saved table version": _add_version,
}


def feed_odd_numbers(place: str) -> int:
    """Read each text as a number of a place; return how many were read."""
    for text in ODD_NUMBERS:
        try:
            PLACES[place](text)
        except AssertionError:
            raise
        except Exception as error:
            shown = text[:20]
            raise AssertionError(f"{place}: {error!r} of {shown!r}") from error
    return len(ODD_NUMBERS)
