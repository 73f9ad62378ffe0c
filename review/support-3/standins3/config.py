"""Configuration that the operator writes."""

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
KEY = "n2ctnfzs989anu6wsjnb"


def route(
    name: str, prefix: str, kind: str, service: str, **fields: object
) -> dict:
    """Return a route with the figures of the small deployments."""
    return {
        "name": name,
        "host": "ficu95.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1_500,
        "target_latency_ms": 125,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "stream_resume": False,
        **fields,
    }


def plain_service(name: str) -> dict:
    """Return a service without engines."""
    return {
        "name": name,
        "health_check": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }


def config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }
