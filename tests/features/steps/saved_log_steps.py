from __future__ import annotations

import json
import pathlib
import tempfile
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from command_steps import CommandResult

if TYPE_CHECKING:
    from behave.runner import Context

JOB = "0000000000000aaa"
TASK = f"{JOB}.0.0.0"
# Process, time, part, text, fields: as the processes wrote them.
LINES = (
    ("entry-0", 1.0, "job", "submitted", {"job": JOB}),
    ("entry-0", 1.1, "place", "claimed", {"task": TASK, "vm": "vm-1"}),
    ("vm-1", 1.2, "worker", "start done", {"task": TASK, "run": 1}),
    ("entry-0", 1.3, "job", "submitted", {"job": "0000000000000bbb"}),
    ("entry-0", 7.0, "run", "given up", {"task": TASK, "why": "lease"}),
    ("vm-0", 7.1, "worker", "start done", {"task": TASK, "run": 2}),
    ("entry-0", 8.0, "job", "occurrence completed", {"job": JOB}),
)


@given("saved output of an entry and two agents that ran a job")
def save_output(context: Context) -> None:
    scratch = tempfile.TemporaryDirectory()
    context.cleanups.append(scratch.cleanup)
    directory = pathlib.Path(scratch.name)
    written: dict[str, list[str]] = {}
    for process, at_s, part, text, fields in LINES:
        message = {
            "process": process,
            "timestamp": at_s,
            "message_type": part,
            "text": text,
            **fields,
        }
        # A bench puts the time and the machine before each line.
        line = f"  {at_s} {process} {json.dumps(message)}"
        written.setdefault(process, ["no JSON here"]).append(line)
    context.saved = []
    for process, lines in written.items():
        path = directory / f"{process}.log"
        path.write_text("\n".join(lines), "utf-8")
        context.saved.append(str(path))


def _explain(context: Context, name: str) -> None:
    arguments = ["explain", name]
    for path in context.saved:
        arguments.extend(("--logs", path))
    context.result = CommandResult(arguments)


@when("the command line explains the job from the saved output")
def explain_job(context: Context) -> None:
    _explain(context, JOB)
    assert context.result.code in (0, None), context.result.err


@when('the command line explains "{name}" from the saved output')
def explain_other(context: Context, name: str) -> None:
    _explain(context, name)


@then("the command's output tells in order")
def tells(context: Context) -> None:
    lines = context.result.out.splitlines()
    wanted = [row["line"] for row in context.table]
    assert len(lines) == len(wanted), lines
    for line, part in zip(lines, wanted, strict=True):
        assert part in line, (line, part)


@then('the command\'s output does not have "{text}"')
def has_not(context: Context, text: str) -> None:
    assert text not in context.result.out, context.result.out
