"""Endpoint selection policies; each gets a non-empty list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.request.selection.registry import selection_policy

if TYPE_CHECKING:
    import random

    from yuccapoint.request.endpoint_view import EndpointView

BALANCED_SAMPLE_SIZE = 3


@selection_policy("random")
def choose_random(
    views: list[EndpointView], rng: random.Random, now_s: float
) -> EndpointView:
    """Choose a random endpoint."""
    del now_s
    return views[rng.randrange(len(views))]


@selection_policy("round-robin")
def choose_round_robin(
    views: list[EndpointView], rng: random.Random, now_s: float
) -> EndpointView:
    """Choose the endpoint that was chosen least often."""
    del rng, now_s
    return min(views, key=lambda view: view.chosen_count)


@selection_policy("least-loaded")
def choose_least_loaded(
    views: list[EndpointView], rng: random.Random, now_s: float
) -> EndpointView:
    """Choose the endpoint with the lowest load."""
    del rng
    return min(views, key=lambda view: view.load(now_s))


@selection_policy("two-choices")
def choose_two(
    views: list[EndpointView], rng: random.Random, now_s: float
) -> EndpointView:
    """Choose the less loaded of two random endpoints."""
    first = views[rng.randrange(len(views))]
    second = views[rng.randrange(len(views))]
    return min(first, second, key=lambda view: view.load(now_s))


@selection_policy("balanced")
def choose_balanced(
    views: list[EndpointView], rng: random.Random, now_s: float
) -> EndpointView:
    """Choose the best of a random sample by failure rate, then by load."""
    count = len(views)
    sample = [views[rng.randrange(count)] for _ in range(BALANCED_SAMPLE_SIZE)]
    return min(sample, key=lambda view: view.rank(now_s))
