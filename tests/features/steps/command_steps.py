from __future__ import annotations

import asyncio
import contextlib
import io
import shlex
import sys
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import typer

from yuccapoint.console.application import application
from yuccapoint.console.application import main
from yuccapoint.process import operator_api

if TYPE_CHECKING:
    from behave.runner import Context

EDIT_ID = "edit-1"


class CommandResult:
    """Output and exit code of a command."""

    def __init__(self, arguments: list[str]) -> None:
        out, err = io.StringIO(), io.StringIO()
        original_argv = sys.argv
        sys.argv = ["yuccapoint", *arguments]
        self.code: object = 0
        try:
            with (
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(err),
            ):
                main()
        except SystemExit as ended:
            self.code = ended.code
        finally:
            sys.argv = original_argv
        self.out = out.getvalue()
        self.err = err.getvalue()


def run_against_deployment(context: Context, *arguments: str) -> CommandResult:
    """Run a command in a thread while the deployment's loop runs."""
    entry = context.deployment.entries[0]
    address = entry.settings.listen.operator_address
    all_arguments = [*arguments, "--entry", address]
    running = context.loop.run_in_executor(None, CommandResult, all_arguments)
    context.result = context.loop.run_until_complete(running)
    return context.result


def set_timeout(context: Context, value: str, *more: str) -> CommandResult:
    tables = context.deployment.entries[0].cell.tables
    context.route = next(iter(tables.routes))
    arguments = ("route", "set", context.route, f"timeout_s={value}", *more)
    return run_against_deployment(context, *arguments)


@then("the help of each command lists the exit codes")
def help_lists_exit_codes(context: Context) -> None:
    del context
    command = typer.main.get_command(application)
    paths = []
    for name, subcommand in command.commands.items():
        inner = getattr(subcommand, "commands", None)
        paths += [[name, sub] for sub in inner] if inner else [[name]]
    assert len(paths) > 15
    for path in paths:
        result = CommandResult([*path, "--help"])
        assert result.code == 0 and "Exit codes" in result.out, (
            path,
            result.out,
        )
        assert result.err == "", (path, result.err)


@when('the command line "{line}" is run')
def run_line(context: Context, line: str) -> None:
    context.result = CommandResult(shlex.split(line))


@then('the command ends with {code:d} and one sentence with "{text}"')
def ends_with_error(context: Context, code: int, text: str) -> None:
    result = context.result
    assert result.code == code, (result.code, result.out, result.err)
    assert text in result.err, result.err
    assert "Traceback" not in result.err
    assert len(result.err.strip().splitlines()) == 1, result.err


@then('the command ends with {code:d} and its output has "{text}"')
def ends_with_output(context: Context, code: int, text: str) -> None:
    result = context.result
    assert result.code == code, (result.code, result.out, result.err)
    assert text in result.out, result.out


@then('the command\'s output has "{text}"')
def output_has(context: Context, text: str) -> None:
    assert text in context.result.out + context.result.err


@when("the command line sets timeout_s=2 and then 3 against the same version")
def set_concurrently(context: Context) -> None:
    tables = context.deployment.entries[0].cell.tables
    version = next(iter(tables.routes.values())).version
    against = ("--against", str(version))
    assert set_timeout(context, "2", *against).code == 0, context.result.err
    set_timeout(context, "3", *against)


@given("operators wait {wait_s:f} s for the log")
def shorten_commit_timeout(context: Context, wait_s: float) -> None:
    original_s = operator_api.COMMIT_TIMEOUT_S
    operator_api.COMMIT_TIMEOUT_S = wait_s
    context.cleanups.append(
        lambda: setattr(operator_api, "COMMIT_TIMEOUT_S", original_s)
    )


@when("the log is down while the command line sets timeout_s=2")
def set_while_down(context: Context) -> None:
    entry = context.deployment.entries[0]
    context.deployment.log.faults.down = True
    # Starts another append first, so the edit waits behind it.
    entry.leader._renew_at_s = 0.0
    context.loop.run_until_complete(asyncio.sleep(0.3))
    set_timeout(context, "2", "--edit-id", EDIT_ID)


@when("the log is not read while the command line sets timeout_s=2")
def set_while_unread(context: Context) -> None:
    pump = context.deployment.entries[0].pump
    pump.pause()
    set_timeout(context, "2", "--edit-id", EDIT_ID)
    pump.resume()
    context.loop.run_until_complete(asyncio.sleep(0.3))


@then('the outcome of the edit is "{outcome}"')
def outcome_is(context: Context, outcome: str) -> None:
    result = run_against_deployment(context, "route", "fate", EDIT_ID)
    assert outcome in result.out + result.err, (result.out, result.err)


@then("a retry of the edit returns the same version")
def retry_edit(context: Context) -> None:
    tables = context.deployment.entries[0].cell.tables
    version = tables.routes[context.route].version
    result = set_timeout(context, "2", "--edit-id", EDIT_ID)
    assert f"accepted as version {version}\n" in result.out, result.out
    assert tables.routes[context.route].version == version


@when(
    "each response of the log is lost while the command line sets timeout_s=2"
)
def set_while_responses_lost(context: Context) -> None:
    faults = context.deployment.log.faults
    faults.lost_answers = 1.0
    set_timeout(context, "2", "--edit-id", EDIT_ID)
    faults.lost_answers = 0.0


@then("the row was changed by one accepted edit")
def changed_once(context: Context) -> None:
    tables = context.deployment.entries[0].cell.tables
    row = tables.routes[context.route]
    assert row.row.timeout_s == 2.0
    assert tables.outcomes[EDIT_ID].version == row.version
