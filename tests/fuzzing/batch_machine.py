"""The state machine for batch jobs under faults."""

from __future__ import annotations

from hypothesis import strategies as st

from fuzzing.fault_rules import counts
from fuzzing.fault_rules import FaultRules
from fuzzing.fault_rules import indexes
from fuzzing.fault_rules import step
from fuzzing.world import QUOTA_MILLICORES
from yuccapoint.job.size import Size

MAX_JOBS = 14

sizes = st.sampled_from(
    [
        Size(1000, 1000, 0),
        Size(2000, 500, 0),
        Size(2000, 2000, 1),
        Size(6000, 6000, 0),
        Size(99_000, 1000, 0),
    ]
)
commands = st.sampled_from(
    ["run_s=1", "run_s=6", "run_s=20", "run_s=3 noise=2", "fails=1"]
)


class BatchRules(FaultRules):
    """Rules for batch jobs and the workers that run them."""

    @step(
        index=indexes,
        count=counts,
        size=sizes,
        command=commands,
        team=st.sampled_from(["small", "large"]),
        urgent=st.booleans(),
    )
    def jobs_are_submitted(
        self,
        index: int,
        count: int,
        size: Size,
        command: str,
        team: str,
        urgent: bool,
    ) -> None:
        known = self.world.oracle.job_submissions()
        if len(known) + count > MAX_JOBS:
            return
        if size.millicores > QUOTA_MILLICORES:
            team = "large"
        for _ in range(count):
            self.world.submit(
                index, team=team, size=size, command=command, urgent=urgent
            )

    @step(index=indexes, first=st.integers(1, 10), count=counts)
    def jobs_are_cancelled(self, index: int, first: int, count: int) -> None:
        for number in range(first, first + count):
            self.world.cancel(index, f"job-{number}")

    @step(index=indexes, fails=st.booleans())
    def worker_fails_everything(self, index: int, fails: bool) -> None:
        self.world.hosts[index].model.fails_all = fails

    @step(index=indexes)
    def worker_answers_are_lost(self, index: int) -> None:
        self.world.hosts[index].lost_responses = 1


class BatchMachine(BatchRules):
    """State machine for batch jobs."""
