from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from fuzzing.hostile_messages import feed_nested  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context


@when("{site} with deeply nested values are decoded")
def decode_nested(context: Context, site: str) -> None:
    context.error = None
    try:
        context.fed_messages = feed_nested(site)
    except AssertionError as error:
        context.error = error


@then("only errors of their own are raised")
def own_errors(context: Context) -> None:
    assert context.error is None, context.error
    assert context.fed_messages, "no message was fed"
