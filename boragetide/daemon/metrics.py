"""Metrics of the daemon, rendered for Prometheus."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

RESPONSE_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)  # seconds


class Metrics:
    """All metrics of one process, by name."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters_by_name: dict[str, Counter] = {}
        self._gauges_by_name: dict[str, Gauge] = {}
        self._response_seconds = Histogram(
            "boragetide_response_seconds",
            "Response time of submissions by class and status.",
            buckets=RESPONSE_BUCKETS,
        )
        self._registry.register(self._response_seconds)

    def count(self, name: str, labels: dict[str, str], value: float = 1.0) -> None:
        """Add to a counter, made on first use."""
        counter = self._counters_by_name.get(name)
        if counter is None:
            counter = Counter(f"boragetide_{name}_total", name.replace("_", " "))
            self._registry.register(counter)
            self._counters_by_name[name] = counter
        counter.add(labels, value)

    def set_gauge(self, name: str, labels: dict[str, str], value: float) -> None:
        """Set a gauge, made on first use."""
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = Gauge(f"boragetide_{name}", name.replace("_", " "))
            self._registry.register(gauge)
            self._gauges_by_name[name] = gauge
        gauge.set(labels, value)

    def observe_response(self, class_name: str, status: str, seconds: float) -> None:
        """Record the response time of one submission."""
        self._response_seconds.observe({"class": class_name, "status": status}, seconds)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and its headers."""
        content, headers = render(self._registry, ["text/plain"])
        return content, dict(headers)
