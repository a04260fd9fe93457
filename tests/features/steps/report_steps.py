from __future__ import annotations

import json
import pathlib
import tempfile
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from yuccapoint.bench.run_page import draw_report
from yuccapoint.bench.run_records import RunFileError
from yuccapoint.bench.run_records import RunRecords

if TYPE_CHECKING:
    from behave.runner import Context

PNG_MAGIC = b"\x89PNG"


def _write_report_files(context: Context, texts: list[str]) -> None:
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.report_folder = pathlib.Path(folder.name)
    context.report_files = []
    for number, text in enumerate(texts):
        path = context.report_folder / f"run-{number}.json"
        path.write_text(text, "utf-8")
        context.report_files.append(str(path))


@given("report files with one bench result and {count:d} log lines")
def given_run_files(context: Context, count: int) -> None:
    lines = [
        json.dumps(
            {
                "message_type": "tables" if number % 2 else "guard",
                "timestamp": 1_000.0 + number,
                "text": f"version {number} is in force",
            }
        )
        for number in range(count)
    ]
    policy = {"policy": "random", "p50_ms": 1.0, "p99_ms": 2.0}
    bench = {"tail_ratio": 1.1, "policies": [policy]}
    _write_report_files(context, [json.dumps(bench), "\n".join(lines)])


@given("a report file without data of a run")
def given_unrelated_file(context: Context) -> None:
    _write_report_files(context, ["no run\n"])


@when("the report page is drawn")
def draw_report_page(context: Context) -> None:
    context.report_records = RunRecords()
    context.report_error = ""
    context.report_page = context.report_folder / "page.png"
    try:
        for path in context.report_files:
            context.report_records.read_file(path)
        draw_report(context.report_records, str(context.report_page))
    except RunFileError as error:
        context.report_error = str(error)


@then("the report page shows {benches:d} benches and {log_lines:d} log lines")
def report_page_shows(context: Context, benches: int, log_lines: int) -> None:
    assert context.report_page.read_bytes()[:4] == PNG_MAGIC
    assert len(context.report_records.benches) == benches
    assert context.report_records.log_line_count == log_lines
    assert len(context.report_records.versions) == log_lines // 2


@then('the report is refused with "{text}"')
def report_is_refused(context: Context, text: str) -> None:
    assert text in context.report_error, context.report_error
    assert not context.report_page.exists()
