"""Metrics of one process."""

from __future__ import annotations

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry
from aioprometheus import render
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2


class RenderedMetrics:
    """Metrics rendered in the exposition format."""

    __slots__ = ("body", "content_type")

    def __init__(self, body: bytes, content_type: str) -> None:
        self.body = body
        self.content_type = content_type


class Metrics:
    """Counters, gauges and the request latency of one process."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.latency = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter, which is created on first use."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                f"yuccapoint_{name}",
                name.replace("_", " "),
                registry=self.registry,
            )
            self._counters[name] = counter
        counter.add(labels, amount)

    def total(self, name: str) -> int:
        """Sum a counter over its labels."""
        counter = self._counters.get(name)
        if counter is None:
            return 0
        return int(sum(value for _, value in counter.get_all()))

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge, which is created on first use."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f"yuccapoint_{name}",
                name.replace("_", " "),
                registry=self.registry,
            )
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def observe_latency(self, duration_s: float) -> None:
        """Record the latency of one request, in seconds."""
        self.latency.record_value(max(1, int(duration_s * 1e6)))

    def latency_s(self, percentile: float) -> float:
        """Return a percentile of the latency, in seconds."""
        return float(self.latency.get_value_at_percentile(percentile)) / 1e6

    def render(self) -> RenderedMetrics:
        """Render all metrics."""
        for percentile in (50.0, 99.0):
            self.set(
                "request_latency_s",
                self.latency_s(percentile),
                percentile=f"{percentile:g}",
            )
        body, headers = render(self.registry, [])
        return RenderedMetrics(body, headers["Content-Type"])
