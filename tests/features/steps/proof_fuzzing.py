from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from fuzzing.oracle import InvariantViolatedError  # noqa: E402
from fuzzing.runs import run_machine  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context


@when('the fuzzing machine "{machine}" runs {examples:d} fixed examples')
def run_examples(context: Context, machine: str, examples: int) -> None:
    context.violation = ""
    try:
        context.steps = run_machine(machine, examples, None)
    except InvariantViolatedError as error:
        context.violation = str(error)


@then("the fuzzing oracle found no violation")
def no_violation(context: Context) -> None:
    assert not context.violation, context.violation
    assert context.steps > 0
