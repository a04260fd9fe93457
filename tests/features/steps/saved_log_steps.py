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
# Process, time, part, text and fields, as written by the processes.
LINES = (
    ("entry-0", 1.0, "job", "submitted", {"job": JOB}),
    ("entry-0", 1.1, "place", "claimed", {"task": TASK, "vm": "vm-1"}),
    ("vm-1", 1.2, "worker", "start done", {"task": TASK, "run": 1}),
    ("entry-0", 1.3, "job", "submitted", {"job": "0000000000000bbb"}),
    ("entry-0", 7.0, "run", "given up", {"task": TASK, "why": "lease"}),
    (
        "entry-0",
        7.05,
        "place",
        "still waits; left out VMs by reason",
        {"task": TASK, "waited_ms": 3050, "quarantine": 2},
    ),
    ("vm-0", 7.1, "worker", "start done", {"task": TASK, "run": 2}),
    ("entry-0", 8.0, "job", "occurrence completed", {"job": JOB}),
)


@given("saved output of an entry and two agents that ran a job")
def save_output(context: Context) -> None:
    temporary = tempfile.TemporaryDirectory()
    context.cleanups.append(temporary.cleanup)
    directory = pathlib.Path(temporary.name)
    lines_by_process: dict[str, list[str]] = {}
    for process, at_s, part, text, fields in LINES:
        message = {
            "process": process,
            "timestamp": at_s,
            "message_type": part,
            "text": text,
            **fields,
        }
        # A bench prefixes each line with the time and the machine.
        line = f"  {at_s} {process} {json.dumps(message)}"
        lines_by_process.setdefault(process, ["no JSON here"]).append(line)
    context.saved_outputs = []
    for process, lines in lines_by_process.items():
        path = directory / f"{process}.log"
        path.write_text("\n".join(lines), "utf-8")
        context.saved_outputs.append(str(path))


def _explain(context: Context, name: str) -> None:
    arguments = ["explain", name]
    for path in context.saved_outputs:
        arguments.extend(("--logs", path))
    context.result = CommandResult(arguments)


@when("the command line explains the job from the saved output")
def explain_job(context: Context) -> None:
    _explain(context, JOB)
    assert context.result.code in (0, None), context.result.err


@when('the command line explains "{name}" from the saved output')
def explain_other(context: Context, name: str) -> None:
    _explain(context, name)


@then("the command's output has these lines in order")
def output_has_lines(context: Context) -> None:
    lines = context.result.out.splitlines()
    expected = [row["line"] for row in context.table]
    assert len(lines) == len(expected), lines
    for line, part in zip(lines, expected, strict=True):
        assert part in line, (line, part)


@then('the command\'s output does not have "{text}"')
def output_lacks(context: Context, text: str) -> None:
    assert text not in context.result.out, context.result.out
