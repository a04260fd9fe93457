from __future__ import annotations

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING

from agent_poll_steps import _send_orders
from behave import given
from behave import then
from behave import when
from malformed_steps import _partition
import msgspec
from platform_path_steps import run

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from fuzzing.decode_sites import INSTANCE  # noqa: E402
from fuzzing.decode_sites import JOB_ID  # noqa: E402
from fuzzing.decode_sites import RULES  # noqa: E402
from fuzzing.decode_sites import sample_submission  # noqa: E402
from yuccapoint.cell import cell_records  # noqa: E402
from yuccapoint.cell.cell_leader import CellLeader  # noqa: E402
from yuccapoint.cell.cell_messages import VmReport  # noqa: E402
from yuccapoint.cell.cell_messages import WorkerReport  # noqa: E402
from yuccapoint.cell.cell_records import Member  # noqa: E402
from yuccapoint.cell.cell_records import StoredPairs  # noqa: E402
from yuccapoint.cell.cell_view import CellView  # noqa: E402
from yuccapoint.cell.occurrence_state import Outcome  # noqa: E402
from yuccapoint.connection.cell_store import StoredRecord  # noqa: E402
from yuccapoint.job.interference.pair_report import PairEstimate  # noqa: E402
from yuccapoint.job.size import Size  # noqa: E402
from yuccapoint.platform.config_feed import ConfigFeed  # noqa: E402
from yuccapoint.platform.job_body import decode_job  # noqa: E402
from yuccapoint.process.cell_tail import CellTail  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.cell_records import CellRecord
    from yuccapoint.cell.job_run import JobRun
    from yuccapoint.cell.occurrence_run import OccurrenceRun

OTHER_ID = "00000000000000dd"
# Loopback addresses that no other process of a test listens on.
ROLE_IP = "127.77.1.{}"


class KeptLines:
    """Logger that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    def log(self, part: str, text: str, **fields: object) -> None:
        del part
        self.lines.append((text, fields))


@when("the operator's topic is followed by a feed that fails to install")
def follow_failing(context: Context) -> None:
    context.logger = KeptLines()

    def fail(table: object) -> None:
        raise KeyError(table)

    async def play() -> None:
        feed = ConfigFeed(_partition(context), fail, context.logger)
        feed._apply(StoredRecord(3, "config", b'{"Version":1}'))
        context.feed_task = asyncio.ensure_future(feed.run())
        await asyncio.sleep(1)

    run(context, play())


@then("a line names the offset, the key and the error of the skipped record")
def line_names_record(context: Context) -> None:
    skipped = [
        fields for text, fields in context.logger.lines if "skipped" in text
    ]
    assert skipped, context.logger.lines
    assert all(
        {"offset", "key", "error"} <= set(fields) for fields in skipped
    ), skipped


class FailingView(CellView):
    """A view that can't apply one key."""

    def __init__(self, key: str) -> None:
        super().__init__()
        self._key = key

    def apply(self, key: str, record: CellRecord | None, offset: int) -> bool:
        if key == self._key:
            raise KeyError(key)
        return super().apply(key, record, offset)


@given('a view that fails to apply the record "{key}"')
def failing_view(context: Context, key: str) -> None:
    context.logger = KeptLines()
    context.view = FailingView(key)


@when('records of "{first}", "{second}" and "{third}" are read')
def read_records(
    context: Context, first: str, second: str, third: str
) -> None:
    tail = CellTail(
        None,  # type: ignore[arg-type]
        context.view,
        lambda _: None,
        lambda: None,
        context.logger,
    )
    records = []
    for offset, key in enumerate((first, second, third)):
        member = Member(key[2:], "127.0.0.1:1", 1)
        value = cell_records.encode(member)
        records.append(StoredRecord(offset, key, value))
    tail._apply(records)


@then('the view has "{first}" and "{second}"')
def view_has(context: Context, first: str, second: str) -> None:
    assert set(context.view.members) == {first, second}, context.view.members


@when("a leader loads {record} and a sound job")
def load_leader(context: Context, record: str) -> None:
    view = CellView()
    sound = sample_submission()
    odd = msgspec.structs.replace(sound, job_id=OTHER_ID)
    step = sound.steps[0]
    if record == "a job with too many tasks":
        step = msgspec.structs.replace(step, tasks=2**20)
    elif record == "a job with a size out of range":
        step = msgspec.structs.replace(step, size=Size(2**63 - 1, -5, 0))
    else:
        pair = PairEstimate("a", "b", 1.5, 0.0, 3.0)
        view.apply("pairs", StoredPairs((pair,)), 1)
    if step is not sound.steps[0]:
        odd = msgspec.structs.replace(odd, steps=(step,))
        view.apply(f"s:{OTHER_ID}", odd, 2)
    view.apply(f"s:{JOB_ID}", sound, 3)
    leader = CellLeader("e-0", "127.0.0.1:1", 1, 0.0)
    leader.load(view, 0.0)
    context.leader = leader
    worker = WorkerReport(
        INSTANCE, "pool", Size(8_000, 2**34, 0), ("a",), False, 0, False
    )
    for number in range(1, 40):
        report = VmReport(
            vm="vm-0",
            address="127.0.0.1:2",
            incarnation=1,
            sequence=number,
            term=1,
            worker=worker,
            runs_listed=True,
            running=(),
            ends=(),
            refused=(),
            pending=(),
            heard_orders=number,
        )
        leader.on_report(report, number * 0.5)
        leader.tick(number * 0.5, number * 500)
        leader.commit(leader.collect_batch())
        leader.collect_orders(number * 0.5, may_grant=True)


@when("a leader schedules a job of {count:d} occurrences without interval")
def schedule_all(context: Context, count: int) -> None:
    body = {
        "Steps": [{"Count": 1_500, "Cpu": 500}],
        "Repeats": count,
        "StartAtMs": 1,
    }
    job = decode_job(json.dumps(body).encode(), JOB_ID, RULES, 1)
    view = CellView()
    view.apply(f"s:{JOB_ID}", job, 1)
    context.leader = CellLeader("e-0", "127.0.0.1:1", 1, 0.0)
    context.leader.load(view, 0.0)
    # Bounds the memory that a failure takes.
    made = 0
    job_run = context.leader.jobs[JOB_ID]
    original = type(job_run).occurrence

    def occurrence(job: JobRun, number: int) -> OccurrenceRun:
        nonlocal made
        made += 1
        assert made < 100, "all occurrences are made at once"
        return original(job, number)

    context.cleanups.append(
        lambda: setattr(type(job_run), "occurrence", original)
    )
    type(job_run).occurrence = occurrence  # type: ignore[method-assign]
    for number in range(3):
        context.leader.tick(0.1 * number, 1_000)


def _open_tasks(context: Context) -> int:
    occurrences = context.leader.jobs[JOB_ID].occurrences.values()
    return sum(
        len(list(occurrence.tasks))
        for occurrence in occurrences
        if occurrence.outcome is Outcome.OPEN
    )


@then("at most {count:d} tasks of it are open")
def open_tasks_bounded(context: Context, count: int) -> None:
    assert 1_500 <= _open_tasks(context) <= count, _open_tasks(context)


@then("it schedules more of it once these are done")
def schedules_more(context: Context) -> None:
    job = context.leader.jobs[JOB_ID]
    before = len(job.occurrences)
    for occurrence in list(job.occurrences.values())[:2]:
        occurrence.outcome = Outcome.COMPLETED
    context.leader.tick(1.0, 1_000)
    assert len(job.occurrences) == before + 2, len(job.occurrences)


@then("it schedules the sound job")
def schedules(context: Context) -> None:
    assert list(context.leader.jobs) == [JOB_ID], context.leader.jobs
    claimed = {
        str(line.fields["task"]).partition(".")[0]
        for line in context.leader.explanations
        if line.text == "claimed"
    }
    assert claimed == {JOB_ID}, claimed


@then("a line names what was skipped")
def line_names_skipped(context: Context) -> None:
    skipped = [
        line for line in context.leader.explanations if "skipped" in line.text
    ]
    assert len(skipped) == 1, skipped
    assert skipped[0].fields["error"], skipped


@when("its polls raise an unexpected error for {seconds:d} s")
def polls_raise(context: Context, seconds: int) -> None:
    original = context.worker.fetch_status
    context.failed_polls = 0

    async def fail(request: object, instance: object) -> None:
        del request, instance
        context.failed_polls += 1
        raise KeyError("poll")

    async def play() -> None:
        context.worker.fetch_status = fail
        await asyncio.sleep(seconds)
        context.worker.fetch_status = original
        context.polled_before = len(context.worker.polled_at_s)
        await asyncio.sleep(0.5)

    async def order() -> None:
        _send_orders(context, 0)

    run(context, order())
    run(context, play())


@then("the agent has not failed")
def agent_not_failed(context: Context) -> None:
    assert context.failed_polls, "no poll failed"
    assert not context.agent.failed.is_set(), "the agent failed"


@then("its worker is polled again")
def polled_again(context: Context) -> None:
    polled = len(context.worker.polled_at_s)
    assert polled > context.polled_before, polled


FAILING_ROLE = """
from yuccapoint.platform import roles
async def fail(self):
    raise KeyError("component")
roles.RoleRuntime.watch_settings = fail
from yuccapoint.platform.__main__ import application
application([{role!r}])
"""


@when("a component of the {role} fails")
def component_fails(context: Context, role: str) -> None:
    ip = ROLE_IP.format(os.getpid() % 200 + 20)
    settings = {
        "NodeName": "n-0",
        "Ip": ip,
        "Zone": "z",
        "Region": "r",
        "ListenAddrs": {
            "Front": f"{ip}:8101",
            "Ready": f"{ip}:8101",
            "Control": f"{ip}:8102",
        },
        "PortRange": [8110, 8120],
        "platform": {"Address": f"{ip}:9"},
    }
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        path.write_text(json.dumps(settings))
        process = subprocess.run(
            [sys.executable, "-c", FAILING_ROLE.format(role=role)],
            env={**os.environ, "YUCCAPOINT_NODE_FILE": str(path)},
            capture_output=True,
            timeout=20,
            check=False,
        )
    context.process = process


@then("it exits with status {status:d}")
def exits_with(context: Context, status: int) -> None:
    process = context.process
    assert process.returncode == status, (process.returncode, process.stderr)
    assert b"component failed" in process.stdout + process.stderr, process
