"""The operators' configuration as the gateway uses it."""

import dataclasses
import enum


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests go and how long they may take.

    :param prefix: beginning of the paths, with a slash at both ends
    :param shares: services that take its requests
    :param max_attempts: endpoints to which one request may be sent
    :param timeout_s: longest time for which a caller is kept waiting
    :param target_latency_s: time to the answer, or to the first event
    :param max_gap_s: longest pause between events that is on time
    :param priority: 0 is the most urgent
    :param is_public: whether requests need no API key
    :param is_resumable: whether another endpoint may continue a stream
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

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case RouteKind.SAFE:
                return True
            case RouteKind.STREAMING:
                return self.is_resumable
            case _:
                return False


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Published figures of a service's engines.

    :param slots: requests that one engine batches
    :param kv_tokens: memory of one engine, in tokens
    :param step_ms: least time of a decode step
    :param per_sequence_ms: added to a step by each decoding request
    :param context_ms_per_1k: added to a step by 1,000 tokens of context
    :param prefill_tokens_per_s: prefill rate before the cost of pairs
    :param pairs_ms_per_m: prefill time of a million token pairs
    :param chunk_tokens: prompt tokens read beside one step
    :param stride_steps: decode steps in one pass, which make one event
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
class Service:
    """A service that endpoints offer.

    :param engine: figures of its engines, or None for a plain service
    """

    name: str
    engine: EngineSpec | None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how slowly."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class ClientAccount:
    """A client account and its API keys.

    :param priority: goes before the priority of the route; None for none
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """One version of the operators' configuration.

    :param requires_api_key: whether routes that are not public require an
        API key
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    accounts: tuple[ClientAccount, ...]
    requires_api_key: bool
