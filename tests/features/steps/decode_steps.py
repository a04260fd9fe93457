from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from behave import then
from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from fuzzing.hostile_messages import feed_nested  # noqa: E402
from fuzzing.hostile_messages import feed_values  # noqa: E402
from fuzzing.odd_numbers import feed_odd_numbers  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

DRAWN_MESSAGES = 300


def _feed(context: Context, feed: Callable[[str], int], name: str) -> None:
    context.error = None
    try:
        context.fed_messages = feed(name)
    except AssertionError as error:
        context.error = error


@when("{site} with deeply nested values are decoded")
def decode_nested(context: Context, site: str) -> None:
    _feed(context, feed_nested, site)


@when("{site} with odd values are decoded")
def decode_odd_values(context: Context, site: str) -> None:
    _feed(context, lambda name: feed_values(name, DRAWN_MESSAGES), site)


@when("{place} has digits that are no number")
def read_odd_numbers(context: Context, place: str) -> None:
    _feed(context, feed_odd_numbers, place)


@then("only errors of their own are raised")
def own_errors(context: Context) -> None:
    assert context.error is None, context.error
    assert context.fed_messages, "no message was fed"
