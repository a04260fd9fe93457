"""Set up and tear down each scenario."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from behave.model import Scenario
    from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create an event loop for the scenario."""
    del scenario
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.cleanups = []


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Run the cleanups of the scenario and close its event loop."""
    del scenario
    for close in reversed(context.cleanups):
        close()
    _cancel_tasks(context.loop)
    context.loop.close()
    asyncio.set_event_loop(None)


def _cancel_tasks(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        ended = asyncio.gather(*tasks, return_exceptions=True)
        loop.run_until_complete(ended)
    loop.run_until_complete(loop.shutdown_default_executor())
