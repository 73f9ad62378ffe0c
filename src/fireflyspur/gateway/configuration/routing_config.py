"""Configuration of routes, services and client accounts."""

import dataclasses
import enum


class RouteKind(enum.StrEnum):
    """Kind of a route, which decides whether its requests may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """Service that receives a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Route from a host and a path prefix to services.

    :param prefix: prefix of the paths, with a slash at both ends
    :param shares: services that receive its requests
    :param max_attempts: maximum number of endpoints that a request is sent to
    :param timeout_s: maximum time until the end of the response
    :param target_latency_s: target for the time to the response, or to the
        first event of a stream
    :param max_gap_s: target for the longest pause between events, or None
    :param priority: 0 is the most urgent
    :param is_public: whether requests need no API key
    :param is_resumable: whether another endpoint may resume a stream
    :param allowed_regions: regions in which its requests may be processed, or
        None for any
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    timeout_s: float
    target_latency_s: float
    max_gap_s: float | None
    priority: int
    is_public: bool
    is_resumable: bool
    allowed_regions: frozenset[str] | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be run more than once."""
        match self.kind:
            case RouteKind.SAFE:
                return True
            case RouteKind.STREAMING:
                return self.is_resumable
            case _:
                return False


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Performance figures of a service's engines, as published.

    :param slots: maximum number of requests in an engine's batch
    :param kv_tokens: KV cache of an engine, in tokens
    :param step_ms: minimum time of a decode step
    :param per_sequence_ms: time that each decoding request adds to a step
    :param context_ms_per_1k: time that 1,000 tokens of context add to a step
    :param prefill_tokens_per_s: prefill rate without the cost of token pairs
    :param pairs_ms_per_m: prefill time of a million token pairs
    :param chunk_tokens: prompt tokens that are prefilled beside one step
    :param stride_steps: decode steps in one pass, which produce one event
    """

    slots: int
    kv_tokens: int
    step_ms: float
    per_sequence_ms: float
    context_ms_per_1k: float
    prefill_tokens_per_s: float
    pairs_ms_per_m: float
    chunk_tokens: int
    stride_steps: int


@dataclasses.dataclass(frozen=True)
class ColdSpec:
    """What endpoints of a service take while they are cold.

    :param start_s: time for which an endpoint is cold after its start
    :param requests_per_s: rate that it can sustain while it is cold
    """

    start_s: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True)
class Service:
    """Service that endpoints provide.

    :param engine: figures of its engines, or None for a plain service
    :param cold: limits of cold endpoints, or None if there are none
    """

    name: str
    engine: EngineSpec | None
    cold: ColdSpec | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Size limits and timeouts of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class ClientAccount:
    """Client account and its API keys.

    :param priority: overrides the priority of the route, or None
    :param allowed_regions: regions in which its requests may be processed, or
        None for any
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
    allowed_regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """One version of the configuration that the operators publish.

    :param requires_api_key: whether routes that are not public require an
        API key
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: tuple[ClientAccount, ...]
    requires_api_key: bool
