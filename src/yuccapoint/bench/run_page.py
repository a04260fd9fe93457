"""Draws a report page of a run; needs matplotlib, which is not shipped."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccapoint.bench.run_records import flatten_figures
from yuccapoint.exceptions import YuccapointError

if TYPE_CHECKING:
    from yuccapoint.bench.run_records import RunRecords

PAGE_WIDTH_INCHES = 11.0
PANEL_HEIGHT_INCHES = 3.2
HISTOGRAM_BINS = 60
RATIO_SUFFIXES = ("_ratio", "_ratio_first_guard", "_growth")


class MatplotlibMissingError(YuccapointError):
    """matplotlib is not installed."""


def draw_report(records: RunRecords, output_path: str) -> None:
    """Draw all panels that the records hold data for.

    Parameters
    ----------
    records : RunRecords
        Log lines and figures of the run.
    output_path : str
        File to write; its suffix names the format, such as ``.png``.

    Raises
    ------
    MatplotlibMissingError
        matplotlib is not installed.
    """
    pyplot = _import_pyplot()
    panels = [draw for draw in _PANELS if draw(records, None)]
    figure, axes = pyplot.subplots(
        max(1, len(panels)),
        1,
        figsize=(PAGE_WIDTH_INCHES, PANEL_HEIGHT_INCHES * max(1, len(panels))),
        squeeze=False,
    )
    for draw, row in zip(panels, axes, strict=False):
        draw(records, row[0])
    figure.tight_layout()
    figure.savefig(output_path)
    pyplot.close(figure)


def _import_pyplot() -> Any:
    try:
        import matplotlib as plotting
    except ImportError:
        raise MatplotlibMissingError(
            "report needs matplotlib, which is not installed"
        ) from None
    plotting.use("Agg")
    import matplotlib.pyplot as pyplot

    return pyplot


def _draw_latency(records: RunRecords, axis: Any) -> bool:
    rows: list[tuple[str, float, float]] = []
    for name, values in records.benches.items():
        for policy in values.get("policies", ()):
            if isinstance(policy, dict) and "p99_ms" in policy:
                label = f"{name} {policy['policy']}"
                rows.append((label, policy["p50_ms"], policy["p99_ms"]))
    if not rows or axis is None:
        return bool(rows)
    labels = [row[0] for row in rows]
    axis.barh(labels, [row[2] for row in rows], label="p99")
    axis.barh(labels, [row[1] for row in rows], label="p50")
    axis.set_xlabel("latency in ms")
    axis.set_title("Latency by endpoint choice policy")
    axis.legend()
    return True


def _draw_evictions(records: RunRecords, axis: Any) -> bool:
    rows: list[tuple[str, float, float]] = []
    for name, values in records.benches.items():
        runs = values.get("runs")
        for kind, run in runs.items() if isinstance(runs, dict) else ():
            rows.append((f"{name} {kind}", run["p99"], run["evictions"]))
    if not rows or axis is None:
        return bool(rows)
    for label, p99, evictions in rows:
        axis.scatter(evictions, p99)
        axis.annotate(label, (evictions, p99), fontsize=6)
    axis.set_xscale("symlog")
    axis.set_xlabel("evictions")
    axis.set_ylabel("p99 slowdown")
    axis.set_title("Service tail slowdown against evictions, by guard")
    return True


def _draw_ratios(records: RunRecords, axis: Any) -> bool:
    found: dict[str, float] = {}
    for name, values in records.benches.items():
        for figure, value in flatten_figures(values).items():
            if figure.endswith(RATIO_SUFFIXES) and "." not in figure:
                found[f"{name} {figure}"] = value
    if not found or axis is None:
        return bool(found)
    axis.barh(list(found), list(found.values()))
    axis.tick_params(axis="y", labelsize=6)
    axis.set_title("Ratios")
    return True


def _draw_log_lines(records: RunRecords, axis: Any) -> bool:
    if not records.times_s or axis is None:
        return bool(records.times_s)
    start_s = min(min(times) for times in records.times_s.values())
    for part, times in sorted(records.times_s.items()):
        elapsed_s = [time_s - start_s for time_s in times]
        axis.hist(elapsed_s, bins=HISTOGRAM_BINS, histtype="step", label=part)
    axis.set_xlabel("seconds")
    axis.set_ylabel("log lines")
    axis.set_title("Decisions, evictions and refusals over time")
    axis.legend()
    return True


def _draw_versions(records: RunRecords, axis: Any) -> bool:
    if not records.versions or axis is None:
        return bool(records.versions)
    start_s = min(found.time_s for found in records.versions)
    axis.scatter(
        [found.time_s - start_s for found in records.versions],
        [found.version for found in records.versions],
    )
    axis.set_xlabel("seconds")
    axis.set_title("Versions of the tables as they came into force")
    return True


_PANELS = (
    _draw_latency,
    _draw_evictions,
    _draw_ratios,
    _draw_log_lines,
    _draw_versions,
)
