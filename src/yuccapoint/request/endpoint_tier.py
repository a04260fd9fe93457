"""Ready endpoints of one service at the same distance from the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sortedcontainers import SortedKeyList
import xxhash

from yuccapoint.request.endpoint_view import EndpointState

if TYPE_CHECKING:
    import random

    from yuccapoint.request.endpoint_view import EndpointView
    from yuccapoint.request.selection.registry import SelectionPolicy

MIN_SUBSET_SIZE = 64
# Entries that have an endpoint in their subset, on average.
ENTRIES_PER_ENDPOINT = 8
MAX_DRAW_ATTEMPTS = 8


class EndpointTier:
    """Ready endpoints, of which an entry uses a stable subset.

    The subset holds the endpoints with the lowest rendezvous hash of entry
    and endpoint, so an endpoint that joins or leaves changes at most one
    element of it.

    Parameters
    ----------
    entry : str
        This entry's name.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._members: dict[str, EndpointView] = {}
        self._by_hash: SortedKeyList[EndpointView] = SortedKeyList(
            key=self._rendezvous_hash
        )
        self._subset: list[EndpointView] = []
        self._subset_size = 0
        self._subset_stale = False

    def __len__(self) -> int:
        return len(self._members)

    def add(self, view: EndpointView) -> None:
        """Add a ready endpoint."""
        if view.key in self._members:
            return
        self._members[view.key] = view
        self._by_hash.add(view)
        self._subset_stale = True

    def discard(self, view: EndpointView) -> None:
        """Remove an endpoint if present."""
        if self._members.pop(view.key, None) is None:
            return
        self._by_hash.remove(view)
        self._subset_stale = True

    def subset(self, entry_count: int) -> list[EndpointView]:
        """Return the endpoints that this entry chooses from.

        Parameters
        ----------
        entry_count : int
            Number of entries that share the endpoints.
        """
        count = len(self._members)
        size = min(
            count,
            max(
                MIN_SUBSET_SIZE,
                -(-ENTRIES_PER_ENDPOINT * count // entry_count),
            ),
        )
        if self._subset_stale or size != self._subset_size:
            self._subset = list(self._by_hash[:size])
            self._subset_size = size
            self._subset_stale = False
        return self._subset

    def draw(
        self,
        policy: SelectionPolicy,
        rng: random.Random,
        excluded: set[str],
        fresh_after_s: float,
        now_s: float,
        entry_count: int,
    ) -> EndpointView | None:
        """Choose an endpoint by a policy; None if none is eligible.

        An endpoint whose last report is older than ``fresh_after_s``
        becomes suspected and is removed when the policy chooses it. After
        ``MAX_DRAW_ATTEMPTS`` the policy chooses from all eligible
        endpoints of the tier, outside the subset too.
        """
        for _ in range(MAX_DRAW_ATTEMPTS):
            views = self.subset(entry_count)
            if not views:
                return None
            view = policy(views, rng, now_s)
            if view.reported_at_s < fresh_after_s:
                view.state = EndpointState.SUSPECTED
                self.discard(view)
                continue
            if view.key not in excluded:
                return view
        eligible = [
            view
            for view in self._by_hash
            if view.key not in excluded and view.reported_at_s >= fresh_after_s
        ]
        if not eligible:
            return None
        return policy(eligible, rng, now_s)

    def _rendezvous_hash(self, view: EndpointView) -> int:
        return xxhash.xxh64_intdigest(f"{self._entry}|{view.key}".encode())
