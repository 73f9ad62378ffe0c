"""Metrics sent over the statsd protocol."""

import dataclasses
from typing import Literal

import statsd

from fireflyspur.errors import exceptions
from fireflyspur.generated import settings
from fireflyspur.observability import length_bins


@dataclasses.dataclass(frozen=True)
class Metric:
    """A metric that a node sends.

    :param name: name without the prefix of the settings; a last part in
        capitals is a placeholder for each of its values
    :param kind: type of the metric in the statsd protocol
    :param unit: unit of its values
    :param description: what it counts or measures
    """

    name: str
    kind: Literal["counter", "gauge", "timer"]
    unit: str
    description: str


METRICS: tuple[Metric, ...] = (
    Metric(
        "requests.OUTCOME",
        "counter",
        "requests",
        "Finished requests by outcome: ok, refused (not_run), failed (may"
        " have run), cancelled (the caller disconnected).",
    ),
    Metric(
        "request_duration",
        "timer",
        "ms",
        "Time from the headers of a request to its end.",
    ),
    Metric(
        "time_to_first_token.BIN",
        "timer",
        "ms",
        "Time from the headers of a request to its first token, by prompt"
        " length in tokens: up_to_4k, up_to_32k, up_to_100k, above_100k.",
    ),
    Metric(
        "requests_in_progress",
        "gauge",
        "requests",
        "Requests that the node has admitted and not yet finished.",
    ),
    Metric(
        "retries",
        "counter",
        "attempts",
        "Attempts on engines after the first, of requests that received at"
        " least one line of a response.",
    ),
    Metric(
        "refused.CODE",
        "counter",
        "requests",
        "Requests that were not run, by the code of the error.",
    ),
)


class Metrics:
    """Sends metrics, or nothing if the settings have no statsd host.

    :param section: the section ``metrics`` of the settings
    :raises InvalidInputError: if the statsd host cannot be resolved
    """

    def __init__(self, section: settings.MetricsSection) -> None:
        self._client: statsd.StatsClient | None = None
        if section.statsd_host:
            try:
                self._client = statsd.StatsClient(
                    section.statsd_host, section.statsd_port, section.prefix
                )
            except OSError as error:
                raise exceptions.InvalidInputError(
                    "metrics.statsd_host: expected an address, found"
                    f" {section.statsd_host!r:.80}: {error}"
                ) from error

    def close(self) -> None:
        """Close the socket."""
        if self._client is not None:
            self._client.close()

    def count_request(self, outcome: str, duration_s: float) -> None:
        """Count a finished request."""
        if self._client is not None:
            self._client.incr(f"requests.{outcome}")
            self._client.timing("request_duration", duration_s * 1000)

    def count_refused(self, code: str) -> None:
        """Count a request that was not run."""
        if self._client is not None:
            self._client.incr(f"refused.{code}")

    def count_retries(self, count: int) -> None:
        """Count attempts after the first."""
        if self._client is not None and count:
            self._client.incr("retries", count)

    def set_in_progress(self, count: int) -> None:
        """Report the number of requests in progress."""
        if self._client is not None:
            self._client.gauge("requests_in_progress", count)

    def observe_first_token(self, prompt_tokens: int, seconds: float) -> None:
        """Report the time to the first token of a prompt."""
        if self._client is not None:
            name = (
                f"time_to_first_token.{length_bins.length_bin(prompt_tokens)}"
            )
            self._client.timing(name, seconds * 1000)
