"""Counters and histograms by OpenTelemetry, in the Prometheus text format."""

from collections import deque
from importlib import import_module
from typing import Any

MAX_PENDING_SAMPLES = 20_000  # samples of histograms before the library is loaded

LATENCY_BOUNDS_MS = (5, 10, 20, 40, 60, 80, 100, 150, 250, 500, 1000, 2000, 5000)


class Metrics:
    """The instruments of this process; one counter per name, with a ``reason`` attribute.

    The library takes a good part of an instance's start to load, so that it is loaded by `start`
    or by the first `render`; until then samples are kept.
    """

    def __init__(self) -> None:
        self._counts: dict[str, dict[str, int]] = {}
        self._gauges: dict[str, dict[str, float]] = {}
        self._samples: deque[tuple[str, float, dict[str, Any]]] = deque(maxlen=MAX_PENDING_SAMPLES)
        self._provider: Any = None
        self._meter: Any = None
        self._histograms: dict[str, Any] = {}
        self._registered: set[str] = set()

    def count(self, counter: str, reason: str, by: int = 1) -> None:
        """Add to a counter."""
        reasons = self._counts.setdefault(counter, {})
        reasons[reason] = reasons.get(reason, 0) + by
        if self._meter is not None and counter not in self._registered:
            self._register_counter(counter)

    def set_gauge(self, name: str, reason: str, value: float) -> None:
        """Set a value that goes up and down."""
        self._gauges.setdefault(name, {})[reason] = value
        if self._meter is not None and name not in self._registered:
            self._register_gauge(name)

    def record_ms(self, name: str, value_ms: float, attributes: dict[str, Any]) -> None:
        """Record a duration in a histogram."""
        if self._meter is None:
            self._samples.append((name, value_ms, attributes))
            return
        instrument = self._histograms.get(name)
        if instrument is None:
            instrument = self._meter.create_histogram(
                f"savoryarch_{name}",
                unit="ms",
                explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_MS,
            )
            self._histograms[name] = instrument
        instrument.record(value_ms, attributes)

    def start(self) -> None:
        """Load the library and hand over what was kept."""
        if self._provider is not None:
            return
        exporter = import_module("opentelemetry.exporter.prometheus")
        sdk = import_module("opentelemetry.sdk.metrics")
        reader = exporter.PrometheusMetricReader()
        self._provider = sdk.MeterProvider([reader], shutdown_on_exit=False)
        self._meter = self._provider.get_meter("savoryarch")
        for counter in self._counts:
            self._register_counter(counter)
        for name in self._gauges:
            self._register_gauge(name)
        while self._samples:
            self.record_ms(*self._samples.popleft())

    def render(self) -> bytes:
        """Return every metric in the text exposition format."""
        self.start()
        prometheus = import_module("prometheus_client")
        rendered: bytes = prometheus.generate_latest(prometheus.REGISTRY)
        return rendered

    def close(self) -> None:
        """Unregister the instruments."""
        if self._provider is not None:
            self._provider.shutdown()

    def _register_counter(self, name: str) -> None:
        self._registered.add(name)
        self._meter.create_observable_counter(
            f"savoryarch_{name}", [lambda options: _observations(self._counts[name])]
        )

    def _register_gauge(self, name: str) -> None:
        self._registered.add(name)
        self._meter.create_observable_gauge(
            f"savoryarch_{name}", [lambda options: _observations(self._gauges[name])]
        )


def _observations(values: dict[str, Any]) -> list[Any]:
    observation = import_module("opentelemetry.metrics").Observation
    return [observation(value, {"reason": reason}) for reason, value in values.items()]
