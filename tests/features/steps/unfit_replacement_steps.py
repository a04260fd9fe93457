from __future__ import annotations

from typing import TYPE_CHECKING

from behave import when

if TYPE_CHECKING:
    from behave.runner import Context


@when("no wide entry reaches an agent")
def cut_wide_entries(context: Context) -> None:
    for seed, world in context.worlds:
        for entry in world.entries:
            if entry is context.narrow[seed]:
                continue
            for vm in world.agents:
                world.cut_links |= {(vm, entry.name), (entry.name, vm)}
