"""Decoding of the platform's configuration."""

from typing import Annotated

import msgspec

from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.configuration import routing_config


class _TrafficSplit(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    priority: int = 5
    service: str | None = None
    traffic_split: list[_TrafficSplit] = []
    # Whether requests are accepted without an API key.
    public: bool = False
    stream_resume: bool = False
    gap_aim_ms: float | None = None
    # Any if absent.
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity_tokens: int
    step_ms: float
    read_per_s: float
    chunk: int
    stride: int = 1
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    pairs_per_m: float = 0.0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    cold_start_s: float | None = None
    cold_per_s: float | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None
    allowed_regions: list[str] | None = None


# Nodes tell one another of versions in integers of 64 bits.
_MAX_VERSION = 2**63 - 1


class _Config(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=0, le=_MAX_VERSION)]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


_decoder = msgspec.json.Decoder(_Config)


def decode(value: bytes) -> routing_config.RoutingConfig:
    """Decode a configuration record.

    :param value: the record's JSON value
    :raises RecordInvalidError: if the value is invalid
    """
    try:
        wire = _decoder.decode(value)
        return routing_config.RoutingConfig(
            version=wire.version,
            routes=tuple(_decode_route(route) for route in wire.routes),
            services={s.name: _decode_service(s) for s in wire.services},
            limits=_decode_limits(wire.limits),
            accounts=tuple(_decode_account(t) for t in wire.tenants or ()),
            requires_api_key=wire.tenants is not None,
        )
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise exceptions.RecordInvalidError(
            f"configuration: {error!r:.200}"
        ) from error


def _decode_route(wire: _Route) -> routing_config.Route:
    shares = tuple(
        routing_config.ServiceShare(split.service, split.weight)
        for split in wire.traffic_split
    )
    if wire.service is not None:
        shares = (routing_config.ServiceShare(wire.service, 1.0),)
    if not shares:
        raise ValueError(f"route {wire.name} has no service")
    gap_ms = wire.gap_aim_ms
    return routing_config.Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        kind=routing_config.RouteKind(wire.kind),
        shares=shares,
        max_attempts=wire.max_attempts,
        timeout_s=wire.timeout_ms / 1000,
        target_latency_s=wire.target_latency_ms / 1000,
        max_gap_s=None if gap_ms is None else gap_ms / 1000,
        priority=wire.priority,
        is_public=wire.public,
        is_resumable=wire.stream_resume,
        allowed_regions=_decode_regions(wire.allowed_regions),
    )


def _decode_service(wire: _Service) -> routing_config.Service:
    return routing_config.Service(
        name=wire.name,
        engine=_decode_engine(wire.engine) if wire.engine else None,
        cold=_decode_cold(wire),
    )


def _decode_cold(wire: _Service) -> routing_config.ColdSpec | None:
    requests_per_s = wire.cold_per_s or 0.0
    if requests_per_s <= 0:
        return None
    return routing_config.ColdSpec(
        max(0.0, wire.cold_start_s or 0.0), requests_per_s
    )


def _decode_engine(wire: _Engine) -> routing_config.EngineSpec:
    return routing_config.EngineSpec(
        slots=wire.slots,
        kv_tokens=wire.kv_capacity_tokens,
        step_ms=wire.step_ms,
        per_sequence_ms=wire.per_seq_ms,
        context_ms_per_1k=wire.context_per_k,
        prefill_tokens_per_s=wire.read_per_s,
        pairs_ms_per_m=wire.pairs_per_m,
        chunk_tokens=wire.chunk,
        stride_steps=wire.stride,
    )


def _decode_limits(wire: _Limits) -> routing_config.CallerLimits:
    return routing_config.CallerLimits(
        max_header_bytes=wire.max_header_bytes,
        max_body_bytes=wire.max_body_bytes,
        header_timeout_s=wire.header_timeout_ms / 1000,
        idle_timeout_s=wire.idle_timeout_ms / 1000,
    )


def _decode_account(wire: _Tenant) -> routing_config.ClientAccount:
    return routing_config.ClientAccount(
        name=wire.name,
        api_keys=tuple(wire.api_keys),
        priority=wire.priority,
        allowed_regions=_decode_regions(wire.allowed_regions),
    )


def _decode_regions(names: list[str] | None) -> frozenset[str] | None:
    return None if names is None else frozenset(names)
