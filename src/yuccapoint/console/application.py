"""The program's command line."""

from __future__ import annotations

import sys

import typer

from yuccapoint.console import exit_codes
from yuccapoint.console.commands import agent
from yuccapoint.console.commands import bench
from yuccapoint.console.commands import cancel
from yuccapoint.console.commands import check
from yuccapoint.console.commands import demo
from yuccapoint.console.commands import drain
from yuccapoint.console.commands import entry
from yuccapoint.console.commands import explain
from yuccapoint.console.commands import jobs
from yuccapoint.console.commands import pool
from yuccapoint.console.commands import report
from yuccapoint.console.commands import route
from yuccapoint.console.commands import status
from yuccapoint.console.commands import submit
from yuccapoint.console.commands import watch
from yuccapoint.exceptions import UnreachableError
from yuccapoint.exceptions import YuccapointError
from yuccapoint.request.verdict import Verdict

# Typer bundles its own copy of click, whose classes differ from click's.
USAGE_ERROR: type[typer.BadParameter] = typer.BadParameter.__bases__[0]
NO_ARGUMENTS_ERROR_NAME = "NoArgsIsHelpError"

application = typer.Typer(
    name="yuccapoint",
    help="Colocates latency-critical services and batch work on shared VMs.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
for module in (
    agent,
    bench,
    cancel,
    check,
    demo,
    drain,
    entry,
    explain,
    jobs,
    report,
    status,
    submit,
    watch,
):
    module.register(application)
application.add_typer(route.application, name="route")
application.add_typer(pool.application, name="pool")


def main() -> None:
    """Run the program; report each error as one sentence and an exit code."""
    try:
        code = application(standalone_mode=False)
    except USAGE_ERROR as error:
        if type(error).__name__ == NO_ARGUMENTS_ERROR_NAME:
            print(error.format_message())
            sys.exit(exit_codes.USAGE)
        _exit_with_error(error.format_message(), exit_codes.USAGE)
    except typer.Abort:
        _exit_with_error("aborted", exit_codes.REFUSED)
    except UnreachableError as error:
        _exit_with_error(str(error), exit_codes.UNREACHABLE)
    except YuccapointError as error:
        code = exit_codes.REFUSED
        if error.verdict is not Verdict.NOT_RUN:
            code = exit_codes.OUTCOME_UNKNOWN
        _exit_with_error(str(error), code)
    except KeyboardInterrupt:
        sys.exit(exit_codes.OK)
    sys.exit(code or exit_codes.OK)


def _exit_with_error(text: str, code: int) -> None:
    for line in text.splitlines():
        print(f"yuccapoint: {line}", file=sys.stderr)
    sys.exit(code)
