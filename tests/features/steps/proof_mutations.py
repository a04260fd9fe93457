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


@when('it runs with "{name}" broken')
@when('it also runs with "{name}" broken')
def run_broken(context: Context, name: str) -> None:
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


@then("no check of the oracle goes red")
def all_green(context: Context) -> None:
    assert not context.check, context.text


@then('just the check "{name}" goes red')
def one_red(context: Context, name: str) -> None:
    assert context.check, "no check went red"
    assert context.check == name, context.text
