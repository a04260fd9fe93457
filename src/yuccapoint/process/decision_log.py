"""Log lines of decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccapoint.job.actions import Explain
    from yuccapoint.process.metrics import Metrics
    from yuccapoint.process.process_logger import ProcessLogger


def log_decisions(
    explanations: list[Explain], logger: ProcessLogger, metrics: Metrics
) -> None:
    """Log decisions, count them by their part, and clear the list.

    Parameters
    ----------
    explanations : list of Explain
        Decisions that are not logged yet.
    logger : ProcessLogger
        Receives the log lines.
    metrics : Metrics
        Metrics of the process.
    """
    for explanation in explanations:
        logger.log(explanation.part, explanation.text, **explanation.fields)
        metrics.count("decisions", part=explanation.part)
    explanations.clear()
