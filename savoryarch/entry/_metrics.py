"""Counters, gauges and histograms by OpenTelemetry, in the Prometheus text format."""

from collections import deque
from importlib import import_module
from typing import Any

# Histogram samples that are held until the library is loaded; the oldest are dropped beyond it.
MAX_PENDING_SAMPLES = 20_000

LATENCY_BOUNDS_MS = (5, 10, 20, 40, 60, 80, 100, 150, 250, 500, 1000, 2000, 5000)


class Metrics:
    """The metrics of this process, with one instrument per name.

    Values of counters and gauges are distinguished by the attribute ``reason``. Loading the
    library takes a large part of the start of an instance, so it is loaded by `start` or by the
    first `render`; samples of histograms are held until then.
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
        """Increment a counter.

        Parameters
        ----------
        counter : str
            Name without the prefix ``savoryarch_``.
        reason : str
            Value of the attribute ``reason``.
        by : int, optional
            Increment.
        """
        reasons = self._counts.setdefault(counter, {})
        reasons[reason] = reasons.get(reason, 0) + by
        if self._meter is not None and counter not in self._registered:
            self._register_counter(counter)

    def set_gauge(self, name: str, reason: str, value: float) -> None:
        """Set a gauge to a value; `name` and `reason` are as for `count`."""
        self._gauges.setdefault(name, {})[reason] = value
        if self._meter is not None and name not in self._registered:
            self._register_gauge(name)

    def record_ms(self, name: str, value_ms: float, attributes: dict[str, Any]) -> None:
        """Record a duration, in milliseconds, in a histogram with attributes of its own."""
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
        """Load the library, register the instruments and record the samples held until now."""
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
        """Return all metrics in the Prometheus text exposition format."""
        self.start()
        prometheus = import_module("prometheus_client")
        rendered: bytes = prometheus.generate_latest(prometheus.REGISTRY)
        return rendered

    def close(self) -> None:
        """Shut the library down, which unregisters the instruments."""
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
