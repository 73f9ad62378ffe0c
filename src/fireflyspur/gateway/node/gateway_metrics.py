"""Prometheus metrics of a gateway node."""

from collections.abc import Callable

import prometheus_client

from fireflyspur.gateway.configuration import routing_config
from fireflyspur.observability import length_bins

# Upper bounds of the latency buckets in seconds, from below the targets of
# short prompts to the longest timeouts.
_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, 20.0)
_PREFIX = "fireflyspur"


class GatewayMetrics:
    """Records the requests and attempts of a node.

    Labels have few values: route kinds, prompt length bins, and outcomes.
    Request ids and accounts are only in the logs.

    :param in_progress: returns the number of requests in progress
    :param config_age_s: returns the age of the configuration
    :param endpoints_age_s: returns the age of the list of endpoints
    :param limited_endpoints: returns the number of endpoints that name a rate
    :param cold_endpoints: returns the number of endpoints that are cold
    :param paced_endpoints: returns the number of endpoints that have a pace
    :param lacks_paths: returns whether the node reaches few endpoints or none
    :param held_bytes: returns the bytes held for all connections
    :param holdings_ended: returns how many of them were given up
    :param evacuated_domains: returns the number of evacuated failure domains
    :param evacuations_age_s: returns the age of what is known of them
    :param waiting: returns the number of requests that wait for room
    """

    def __init__(
        self,
        in_progress: Callable[[], float],
        config_age_s: Callable[[], float],
        endpoints_age_s: Callable[[], float],
        limited_endpoints: Callable[[], float],
        cold_endpoints: Callable[[], float],
        paced_endpoints: Callable[[], float],
        lacks_paths: Callable[[], bool],
        held_bytes: Callable[[], float],
        holdings_ended: Callable[[], float],
        evacuated_domains: Callable[[], float],
        evacuations_age_s: Callable[[], float],
        waiting: Callable[[], float],
    ) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._add_counters()
        self._add_histograms()
        self._gauge(
            "requests_in_progress", in_progress, "Requests in progress."
        )
        self._gauge(
            "config_age_seconds", config_age_s, "Age of the configuration."
        )
        self._gauge(
            "endpoints_age_seconds",
            endpoints_age_s,
            "Age of the list of endpoints.",
        )
        self._add_endpoint_gauges(
            limited_endpoints, cold_endpoints, paced_endpoints
        )
        self._gauge(
            "lacks_paths",
            lacks_paths,
            "1 while few endpoints or none are reached.",
        )
        self._gauge(
            "held_bytes", held_bytes, "Bytes held for requests and responses."
        )
        self._gauge(
            "holdings_given_up",
            holdings_ended,
            "Requests and responses given up as too much was held.",
        )
        self._gauge(
            "evacuated_domains",
            evacuated_domains,
            "Failure domains that are evacuated.",
        )
        self._gauge(
            "evacuations_age_seconds",
            evacuations_age_s,
            "Age of what is known of evacuations.",
        )
        self._gauge(
            "requests_waiting", waiting, "Requests that wait for room."
        )

    def _add_endpoint_gauges(
        self,
        limited_endpoints: Callable[[], float],
        cold_endpoints: Callable[[], float],
        paced_endpoints: Callable[[], float],
    ) -> None:
        self._gauge(
            "limited_endpoints",
            limited_endpoints,
            "Endpoints whose named rate limit is in force.",
        )
        self._gauge(
            "cold_endpoints",
            cold_endpoints,
            "Cold endpoints that take a limited rate.",
        )
        self._gauge(
            "paced_endpoints",
            paced_endpoints,
            "Endpoints with a concurrency limit or factor found from answers.",
        )

    def _add_counters(self) -> None:
        self._requests = self._counter(
            "requests",
            "Finished requests by kind of route and status; 0 if the caller"
            " left.",
            ("kind", "status"),
        )
        self._refusals = self._counter(
            "refusals", "Requests answered by the node itself.", ("code",)
        )
        self._attempts = self._counter(
            "attempts", "Attempts on endpoints by their end.", ("result",)
        )
        self._handovers = self._counter(
            "handovers",
            "Offers of requests to other nodes by their end.",
            ("result",),
        )
        self._elsewhere = self._counter(
            "other_pool_requests",
            "Requests answered by an engine of another pool, by what was known"
            " of its load: a report, or nothing (unknown).",
            ("load",),
        )
        self._refusals_with_room = self._counter(
            "refusals_with_room",
            "Requests refused while another pool reported room.",
            (),
        )
        self._store_calls = self._counter(
            "store_calls",
            "Calls to the store by topic and outcome.",
            ("topic", "outcome"),
        )

    def _add_histograms(self) -> None:
        self._first_byte = self._histogram(
            "first_part_seconds",
            "Time from a request to the beginning of its answer.",
            ("kind", "prompt"),
        )
        self._waits = self._histogram(
            "room_wait_seconds",
            "Time for which requests waited for room on an engine.",
            ("result",),
        )
        self._longest_gap = self._histogram(
            "longest_gap_seconds",
            "Longest pause between the events of a stream.",
            ("prompt",),
        )
        self._config_delay = self._histogram(
            "config_delay_seconds",
            "Age of a configuration when a newer version replaced it, which"
            " exceeds the time since the publication of that version.",
            (),
        )
        self._config_catch_up = self._histogram(
            "config_catch_up_seconds",
            "Time from the first announcement of a newer configuration by"
            " another node until this node has it in force.",
            (),
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def count_request(
        self, kind: routing_config.RouteKind, status: int
    ) -> None:
        """Count a finished request."""
        self._requests.labels(kind.value, str(status)).inc()

    def count_refusal(self, code: str) -> None:
        """Count a request to which the node itself responded."""
        self._refusals.labels(code).inc()

    def count_attempt(self, result: str) -> None:
        """Count an attempt on an endpoint."""
        self._attempts.labels(result).inc()

    def count_handover(self, result: str) -> None:
        """Count an offer of a request to another node."""
        self._handovers.labels(result).inc()

    def count_elsewhere(self, load_source: str) -> None:
        """Count a request that an engine of another pool answered."""
        self._elsewhere.labels(load_source).inc()

    def count_refusal_with_room(self) -> None:
        """Count a refusal while another pool reported room."""
        self._refusals_with_room.inc()

    def count_store_call(self, topic: str, outcome: str) -> None:
        """Count a call to the store."""
        self._store_calls.labels(topic, outcome).inc()

    def observe_first_byte(
        self,
        kind: routing_config.RouteKind,
        prompt_tokens: int,
        seconds: float,
    ) -> None:
        """Record the time to the first byte of a response."""
        length = length_bins.length_bin(prompt_tokens)
        self._first_byte.labels(kind.value, length).observe(seconds)

    def observe_wait(self, result: str, seconds: float) -> None:
        """Record the end of a wait for room on an engine."""
        self._waits.labels(result).observe(seconds)

    def observe_version(self, delay_s: float, catch_up_s: float) -> None:
        """Record that a newer configuration came into force.

        :param delay_s: age of the one before it
        :param catch_up_s: time since another node announced it; 0 if none did
        """
        self._config_delay.observe(delay_s)
        if catch_up_s:
            self._config_catch_up.observe(catch_up_s)

    def observe_longest_gap(self, prompt_tokens: int, seconds: float) -> None:
        """Record the longest gap between two events of a stream."""
        length = length_bins.length_bin(prompt_tokens)
        self._longest_gap.labels(length).observe(seconds)

    def _counter(
        self, name: str, help_text: str, labels: tuple[str, ...]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"{_PREFIX}_{name}", help_text, labels, registry=self._registry
        )

    def _gauge(
        self, name: str, get_value: Callable[[], float], help_text: str
    ) -> None:
        gauge = prometheus_client.Gauge(
            f"{_PREFIX}_{name}", help_text, registry=self._registry
        )
        gauge.set_function(get_value)

    def _histogram(
        self, name: str, help_text: str, labels: tuple[str, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"{_PREFIX}_{name}",
            help_text,
            labels,
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
