from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.exceptions import SettingsError
from yuccapoint.process.settings.checker import check_files
from yuccapoint.process.settings.loader import parse_settings
from yuccapoint.process.settings.sections import EntrySettings

if TYPE_CHECKING:
    from behave.runner import Context

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@given("the entry settings")
def given_settings(context: Context) -> None:
    context.settings_text = context.text


@when("the settings are checked")
def check_settings(context: Context) -> None:
    context.faults = []
    try:
        parse_settings(context.settings_text, EntrySettings)
    except SettingsError as error:
        context.faults = str(error).splitlines()


@when("all files of the examples are checked")
def check_examples(context: Context) -> None:
    files = sorted(str(path) for path in EXAMPLES.glob("*/*"))
    assert len(files) == 30, files
    context.faults = check_files(files)


@then("{count:d} faults are reported")
def count_faults(context: Context, count: int) -> None:
    assert len(context.faults) == count, context.faults


@then("no fault is reported")
def no_fault(context: Context) -> None:
    assert not context.faults, context.faults


@then('a fault contains "{text}"')
def fault_contains(context: Context, text: str) -> None:
    assert any(text in fault for fault in context.faults), context.faults
