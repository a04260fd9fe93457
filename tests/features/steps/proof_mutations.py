from __future__ import annotations

import contextlib
import pathlib
import sys
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from fuzzing.mutations import MUTATIONS  # noqa: E402
from fuzzing.oracle import InvariantViolatedError  # noqa: E402
from fuzzing.sequences import run_sequence  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context


@given('the fault sequence "{name}"')
def choose_sequence(context: Context, name: str) -> None:
    context.sequence = name
    context.disabled = []


@when('it runs with "{name}" disabled')
@when('it also runs with "{name}" disabled')
def run_disabled(context: Context, name: str) -> None:
    context.check = ""
    if name != "nothing":
        context.disabled.append(name)
    with contextlib.ExitStack() as patches:
        for disabled in context.disabled:
            patches.enter_context(MUTATIONS[disabled]())
        try:
            run_sequence(context.sequence)
        except InvariantViolatedError as error:
            context.check = error.check
            context.text = str(error)


@then("no oracle check fails")
def no_check_failed(context: Context) -> None:
    assert not context.check, context.text


@then('only the oracle check "{name}" fails')
def one_check_failed(context: Context, name: str) -> None:
    assert context.check, "no oracle check failed"
    assert context.check == name, context.text
