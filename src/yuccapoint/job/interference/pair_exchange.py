"""Exchange of a VM's estimates with those of other VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccapoint.job.interference.pair_report import PairEstimate
from yuccapoint.job.interference.pair_report import PairReport
from yuccapoint.job.interference.pair_table import MAX_PAIRS_PER_VM

if TYPE_CHECKING:
    from yuccapoint.job.interference import slowdown_estimator

PAIR_REPORT_INTERVAL_S = 4.0
PRIORS_INTERVAL_S = 10.0


class PairExchange:
    """Reports a VM's estimates and takes over those of others.

    Parameters
    ----------
    estimator : slowdown_estimator.SlowdownEstimator
        Estimates of the VM.

    Attributes
    ----------
    slowdowns_elsewhere : dict of str to float
        Least slowdown of another service, by class.
    """

    __slots__ = (
        "_estimator",
        "_priors_at_s",
        "_report_at_s",
        "_revision",
        "slowdowns_elsewhere",
    )

    def __init__(
        self, estimator: slowdown_estimator.SlowdownEstimator
    ) -> None:
        self.slowdowns_elsewhere: dict[str, float] = {}
        self._estimator = estimator
        self._revision = 0
        self._report_at_s = -math.inf
        self._priors_at_s = -math.inf

    def report(self, service: str, now_s: float) -> PairReport | None:
        """Return the VM's recent estimates; None if no report is due.

        Parameters
        ----------
        service : str
            Service class of the VM; empty if none is known.
        now_s : float
            Monotonic time in seconds.
        """
        if not service or now_s < self._report_at_s:
            return None
        self._report_at_s = now_s + PAIR_REPORT_INTERVAL_S
        self._revision += 1
        estimator = self._estimator
        pairs = [
            PairEstimate(
                service,
                job_class,
                round(estimator.weight(job_class), 4),
                round(estimator.deviation(job_class), 4),
                round(estimator.counts[job_class], 1),
            )
            for job_class in estimator.recent_classes()[:MAX_PAIRS_PER_VM]
        ]
        return PairReport(
            revision=self._revision,
            wants_priors=now_s >= self._priors_at_s + PRIORS_INTERVAL_S,
            pairs=pairs,
        )

    def apply_priors(
        self, service: str, priors: list[PairEstimate], now_s: float
    ) -> None:
        """Apply the estimates of other VMs.

        Parameters
        ----------
        service : str
            Service class of the VM.
        priors : list of PairEstimate
            The estimates.
        now_s : float
            Monotonic time in seconds.
        """
        self._priors_at_s = now_s
        self.slowdowns_elsewhere.clear()
        for prior in priors:
            if prior.service == service:
                self._estimator.apply_prior(
                    prior.job_class, prior.slowdown, prior.deviation
                )
                continue
            least = self.slowdowns_elsewhere.get(prior.job_class, math.inf)
            self.slowdowns_elsewhere[prior.job_class] = min(
                least, prior.slowdown
            )
