"""Request bodies of job submissions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccapoint.cell.step_spec import StepSpec
from yuccapoint.cell.submission import Submission
from yuccapoint.decoding import decode
from yuccapoint.exceptions import DecodingError
from yuccapoint.job.size import Size
from yuccapoint.platform.exceptions import MalformedMessageError

if TYPE_CHECKING:
    from yuccapoint.cell.queue_address import QueueAddress
    from yuccapoint.cell.queue_rules import QueueRules

MEBIBYTE = 1_048_576


class _Step(msgspec.Struct, rename="pascal"):
    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that the worker must have.
    requirements: str = ""
    # Rack that holds the input data.
    affinity: str = ""
    # Maximum number of tasks of the step on one worker.
    anti_affinity: int = 0
    speculative: bool = False
    # Tasks run until the job is cancelled.
    persistent: bool = False
    image: str = ""
    target_ms: float = 0
    # Not a count, despite the wire name: whether the step's processors are
    # left uncommitted.
    fill_count: bool | int = False
    max_unavailable: int = 0


class _Job(msgspec.Struct, rename="pascal"):
    # Payload that is passed to the tasks.
    spec: str = ""
    steps: list[_Step] = msgspec.field(default_factory=list)
    repeats: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


_decoder = msgspec.json.Decoder(_Job)


def decode_job(
    body: bytes,
    job_id: str,
    rules: QueueRules,
    now_ms: int,
    address: QueueAddress | None = None,
    config_version: int = 0,
) -> Submission:
    """Decode a job that was submitted to an address of a config's version.

    Raises
    ------
    MalformedMessageError
        The body is not valid JSON or lacks a field.
    InvalidJobError
        The job can never run as specified.
    """
    try:
        job = decode(_decoder, body)
    except DecodingError as error:
        raise MalformedMessageError(f"job body is invalid: {error}") from None
    submission = Submission(
        job_id=job_id,
        queue=rules,
        payload=job.spec,
        steps=tuple(_decode_step(step) for step in job.steps),
        accepted_at_ms=now_ms,
        repeats=job.repeats,
        first_due_ms=job.start_at_ms,
        interval_ms=job.interval_ms,
        address=address,
        config_version=config_version,
    )
    submission.check()
    return submission


def _decode_step(step: _Step) -> StepSpec:
    return StepSpec(
        tasks=step.count,
        size=Size(step.cpu, step.mem_mb * MEBIBYTE, step.gpu),
        estimate_ms=step.estimate_ms,
        depends_on=step.depends_on,
        saves_progress=step.saves_progress,
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.requirements,
        rack=step.affinity,
        max_per_vm=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.persistent,
        image=step.image,
        target_ms=int(step.target_ms),
        best_effort=bool(step.fill_count),
        max_unavailable=step.max_unavailable,
    )
