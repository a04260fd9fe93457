from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from behave import when

sys.path.append(str(pathlib.Path(__file__).parents[2]))

from fuzzing.bad_input import FEEDS  # noqa: E402
from fuzzing.hostile_http import feed_heads  # noqa: E402
from fuzzing.world import close_open_worlds  # noqa: E402

if TYPE_CHECKING:
    from behave.runner import Context


@when("{count:d} hostile {kind} are fed")
def feed(context: Context, count: int, kind: str) -> None:
    context.cleanups.append(close_open_worlds)
    FEEDS[kind](count)


@when("{count:d} hostile heads are sent to all HTTP ports")
def feed_http(context: Context, count: int) -> None:
    context.loop.run_until_complete(feed_heads(context.deployment, count))
