"""Endpoints of one service, grouped by tier."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.request.endpoint_tier import EndpointTier
from yuccapoint.request.endpoint_view import EndpointState

if TYPE_CHECKING:
    from yuccapoint.request.endpoint_view import EndpointView

TIERS = ("data centre", "region", "far")
QUARANTINE_FAILURE_RATE = 0.3
QUARANTINE_CONSECUTIVE_FAILURES = 2
INITIAL_QUARANTINE_S = 1.0
MAX_QUARANTINE_S = 30.0
# Keeps half of the endpoints in use when all of them fail.
MAX_QUARANTINED_FRACTION = 0.5


class ServiceEndpoints:
    """Groups the ready endpoints by tier, separate from quarantined ones.

    Parameters
    ----------
    entry, data_centre, region : str
        The entry and where it runs.
    """

    def __init__(self, entry: str, data_centre: str, region: str) -> None:
        self.views: dict[str, EndpointView] = {}
        self.tiers = {name: EndpointTier(entry) for name in TIERS}
        self.quarantined: dict[str, EndpointView] = {}
        self._data_centre = data_centre
        self._region = region

    def tier_of(self, view: EndpointView) -> str:
        """Return the tier of an endpoint."""
        if view.data_centre == self._data_centre:
            return "data centre"
        if view.region == self._region:
            return "region"
        return "far"

    def refresh(self, view: EndpointView) -> None:
        """Update the tier of an endpoint after a report or result."""
        self.views[view.key] = view
        tier = self.tiers[self.tier_of(view)]
        if view.key in self.quarantined:
            if view.state is EndpointState.READY:
                view.state = EndpointState.QUARANTINED
            tier.discard(view)
            return
        if view.state is EndpointState.READY:
            tier.add(view)
            return
        tier.discard(view)

    def remove(self, view: EndpointView) -> None:
        """Remove an endpoint."""
        self.views.pop(view.key, None)
        self.quarantined.pop(view.key, None)
        for tier in self.tiers.values():
            tier.discard(view)

    def record_result(
        self, view: EndpointView, now_s: float, *, failed: bool
    ) -> bool:
        """Record a result; True if the endpoint's state changed."""
        view.record_result(failed=failed)
        if failed:
            view.last_failure_at_s = now_s
        if view.key in self.quarantined:
            return self._record_probe_result(view, now_s, failed=failed)
        view.consecutive_failures = (
            view.consecutive_failures + 1 if failed else 0
        )
        failing = view.failure_rate >= QUARANTINE_FAILURE_RATE
        if (
            not failing
            or view.consecutive_failures < QUARANTINE_CONSECUTIVE_FAILURES
        ):
            return False
        limit = MAX_QUARANTINED_FRACTION * len(self.views)
        if len(self.quarantined) + 1 > limit:
            return False
        view.quarantine_s = INITIAL_QUARANTINE_S
        view.next_probe_at_s = now_s + view.quarantine_s
        self.quarantined[view.key] = view
        self.refresh(view)
        return True

    def next_probe(self, now_s: float) -> EndpointView | None:
        """Return a quarantined endpoint that is due for a probe."""
        for view in self.quarantined.values():
            if view.state is not EndpointState.QUARANTINED:
                continue
            if now_s < view.next_probe_at_s:
                continue
            view.next_probe_at_s = now_s + view.quarantine_s
            return view
        return None

    def _record_probe_result(
        self, view: EndpointView, now_s: float, *, failed: bool
    ) -> bool:
        if failed:
            view.quarantine_s = min(MAX_QUARANTINE_S, view.quarantine_s * 2)
            view.next_probe_at_s = now_s + view.quarantine_s
            return False
        del self.quarantined[view.key]
        view.failure_rate = 0.0
        view.consecutive_failures = 0
        if view.state is EndpointState.QUARANTINED:
            view.state = EndpointState.READY
        self.refresh(view)
        return True
