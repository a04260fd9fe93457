from __future__ import annotations

import pathlib
import socket
import tempfile
from typing import TYPE_CHECKING

from behave import given
from behave import when
from command_steps import CommandResult

from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context

SETTINGS = """
[process]
name = entry-1
data_centre = a
region = b
[listen]
caller_address = {caller}
operator_address = {operator}
control_address = {control}
[log]
address = 127.0.0.1:1
[entries]
seeds =
[logs]
form = none
"""


@given("entry settings whose {port} port is taken")
def given_taken(context: Context, port: str) -> None:
    taken = socket.socket()
    taken.bind(("127.0.0.1", 0))
    taken.listen()
    context.cleanups.append(taken.close)
    addresses = {
        name: find_free_address() for name in ("caller", "operator", "control")
    }
    addresses[port] = f"127.0.0.1:{taken.getsockname()[1]}"
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.taken_settings = pathlib.Path(folder.name) / "entry.ini"
    context.taken_settings.write_text(SETTINGS.format(**addresses), "utf-8")


@when("the command line runs an entry by these settings")
def run_entry(context: Context) -> None:
    context.result = CommandResult(["entry", str(context.taken_settings)])
