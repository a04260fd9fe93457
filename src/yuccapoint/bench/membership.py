"""``bench membership``: planned stops, failure detection, agent cost."""

from __future__ import annotations

import asyncio
import random

import msgspec

from yuccapoint.bench.agent_cost import control_bytes_per_s
from yuccapoint.bench.agent_cost import control_core_share
from yuccapoint.bench.agent_cost import replica_bytes_per_row
from yuccapoint.bench.capacity import resident_bytes
from yuccapoint.bench.failure_detection_trial import FailureDetectionTrial
from yuccapoint.bench.registry import bench
from yuccapoint.bench.slope import fit_line

ENTRY_COUNTS = [3.0, 6.0, 12.0, 24.0]
BASE_ENTRIES = 3
ENTRIES_AT_SIZE = 30
ROWS_AT_SIZE = 2_000


class MembershipFigures(msgspec.Struct, frozen=True):
    """Planned stops on real sockets, failure detection and agent cost.

    Failure detection is measured in virtual time. Figures that end in
    ``at_size`` are extrapolated from the measured slope over the entries
    that an agent reports to: 30 entries for 23,000 workers, and 2,000 rows
    in the agent's pool. ``agent_core_share`` leaves out socket work.
    ``agent_resident_bytes`` is the memory of the whole bench process and
    thus an upper bound.
    """

    deployment: str
    seed: int
    new_work_after_leave_max_s: float
    cut_in_flight: int
    refused_not_run: int
    requests_sent: int
    false_deaths: int
    false_deaths_fixed_timeout: int
    death_noticed_max_s: float
    agent_control_bytes_per_s: float
    agent_control_bytes_per_s_at_size: float
    agent_core_share: float
    agent_core_share_at_size: float
    agent_resident_bytes: int
    agent_resident_bytes_at_size: int


@bench("membership")
def measure_membership(deployment: str, seed: int) -> MembershipFigures:
    """Measure planned stops, failure detection and an agent's cost."""
    from yuccapoint.bench.stop_trial import StopTrial

    agent_bytes = resident_bytes()
    counts = ENTRY_COUNTS
    sent = fit_line(
        "agent_control_bytes_per_s",
        "entry",
        counts,
        [control_bytes_per_s(int(count)) for count in counts],
    )
    core_share = fit_line(
        "agent_core_share",
        "entry",
        counts,
        [control_core_share(int(count)) for count in counts],
    )
    detection = FailureDetectionTrial(random.Random(seed))
    detection.run()
    stops = StopTrial(deployment, seed)
    asyncio.run(stops.run())
    return MembershipFigures(
        deployment,
        seed,
        round(stops.max_work_after_leave_s, 3),
        stops.cut,
        stops.refused,
        stops.sent,
        detection.false_deaths,
        detection.baseline_false_deaths,
        round(max(detection.detection_times_s), 3),
        round(sent.value_at(BASE_ENTRIES), 1),
        round(sent.value_at(ENTRIES_AT_SIZE), 1),
        round(core_share.value_at(BASE_ENTRIES), 6),
        round(core_share.value_at(ENTRIES_AT_SIZE), 6),
        agent_bytes,
        agent_bytes + int(replica_bytes_per_row() * ROWS_AT_SIZE),
    )
