"""Heartbeat of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.connection.messages import EntryHeartbeat

if TYPE_CHECKING:
    from yuccapoint.process.entry_process import EntryProcess


def build_heartbeat(entry: EntryProcess, now_s: float) -> EntryHeartbeat:
    """Return what an entry tells others and agents of itself.

    Parameters
    ----------
    entry : EntryProcess
        The entry.
    now_s : float
        Monotonic time in seconds.
    """
    return EntryHeartbeat(
        entry=entry.entry_id,
        data_centre=entry.settings.process.data_centre,
        region=entry.settings.process.region,
        control_address=entry.settings.listen.control_address,
        operator_address=entry.settings.listen.operator_address,
        tables_version=entry.cell.tables.current.version,
        log_offset=entry.cell.next_offset,
        stopping=entry.leaving,
        can_lead=entry.pump.caught_up and not entry.log_fault,
        known_addresses=[
            heartbeat.control_address
            for heartbeat in entry.directory.live_entries(now_s)
        ],
        demand=entry.customer_rate_limiter.demand(now_s),
    )
