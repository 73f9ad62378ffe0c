"""Reading of the platform's settings file."""

import os
import pathlib
import tomllib
from typing import Annotated

import msgspec

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.configuration import regions
from fireflyspur.gateway.endpoints import cold_ceiling
from fireflyspur.gateway.node import settings as gateway_settings
from fireflyspur.gateway.requests import retry_budget
from fireflyspur.gateway.scheduling import memory_reserver

_MEGABYTE = 1_048_576
_ENVIRONMENT_VARIABLE = "FIREFLYSPUR_SETTINGS"


class _Listen(msgspec.Struct):
    # Address for callers.
    front: str
    # Address for health checks of the load balancer.
    ready: str


class _Bounds(msgspec.Struct):
    grace_s: float
    drain_ms: float
    config_apply_ms: float
    retry_budget_ratio: float
    retry_budget_extra: float
    budget_window_s: float
    # Reserved memory must be free within this time after the request ends.
    free_ms: float = 4_000
    # Longest reservation that an engine accepts.
    hold_max_ms: float = 20_000
    # Evacuations of failure domains are used only if this is given.
    evacuate_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None
    # Additional time for nodes that the store refuses.
    outer_ms: float = 6_000
    # Requests to a cold server in a second: this factor of what it sustains,
    # and some more. There is no bound if the factor is 0.
    cold_over: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct):
    memory_mb: float | None = None


class _Platform(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct):
    node_name: str
    zone: str
    ip: str
    internal_port_range: tuple[int, int]
    heartbeat_ms: float
    listen: _Listen
    bounds: _Bounds
    platform: _Platform
    limits: _Limits = msgspec.field(default_factory=_Limits)
    region: str | None = None
    # Region of each zone.
    zones: dict[str, str] = {}


def path() -> pathlib.Path:
    """Return the path of the settings file from the environment.

    :raises InvalidSettingsError: if the environment variable is not set
    """
    value = os.environ.get(_ENVIRONMENT_VARIABLE)
    if not value:
        raise exceptions.InvalidSettingsError(
            f"the environment variable {_ENVIRONMENT_VARIABLE} is not set"
        )
    return pathlib.Path(value)


def load(
    file: pathlib.Path, metrics_port: int | None = None
) -> gateway_settings.GatewaySettings:
    """Read the settings file; unknown keys are ignored.

    :param metrics_port: port of the metrics, which is not in the file, or
        None to serve no metrics
    :raises InvalidSettingsError: if the file cannot be read, or a field is
        missing or invalid
    """
    try:
        wire = msgspec.convert(
            tomllib.loads(file.read_text("utf-8")), _Settings
        )
        return _convert(wire, metrics_port)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise exceptions.InvalidSettingsError(f"{file}: {error}") from error


def _convert(
    wire: _Settings, metrics_port: int | None
) -> gateway_settings.GatewaySettings:
    bounds, memory_mb = wire.bounds, wire.limits.memory_mb
    return gateway_settings.GatewaySettings(
        node_name=wire.node_name,
        failure_domain=wire.zone,
        callers=addresses.parse(wire.listen.front),
        health=addresses.parse(wire.listen.ready),
        peers=addresses.Address(wire.ip, wire.internal_port_range[0]),
        metrics=(
            addresses.Address(wire.ip, metrics_port) if metrics_port else None
        ),
        store=addresses.parse(wire.platform.address),
        grace_s=bounds.grace_s,
        drain_s=bounds.drain_ms / 1000,
        config_apply_s=bounds.config_apply_ms / 1000,
        heartbeat_s=wire.heartbeat_ms / 1000,
        retries=retry_budget.RetryLimits(
            ratio=bounds.retry_budget_ratio,
            extra=bounds.retry_budget_extra,
            window_s=bounds.budget_window_s,
        ),
        memory=memory_reserver.MemoryLimits(
            free_s=bounds.free_ms / 1000,
            hold_max_s=bounds.hold_max_ms / 1000,
        ),
        cold=cold_ceiling.ColdBounds(
            over=bounds.cold_over, slack=bounds.cold_slack
        ),
        memory_bytes=(
            None if memory_mb is None else int(memory_mb * _MEGABYTE)
        ),
        evacuate_s=(
            None if bounds.evacuate_ms is None else bounds.evacuate_ms / 1000
        ),
        outer_s=bounds.outer_ms / 1000,
        regions=regions.RegionMap(wire.region, wire.zones),
    )
