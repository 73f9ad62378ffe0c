"""Records that tests publish."""

from typing import Any

from tools import fleet as fleets

KEY = "test-key"


def publish(fleet: fleets.Fleet, *values: dict[str, Any]) -> None:
    """Append records to the configuration stream."""
    url = fleet.url("log") + "/streams/config/records"
    fleets.call(url, "POST", {"records": list(values)})


def make(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    return {"schema_version": 1, "kind": kind, "name": name, "spec": spec}


def model(name: str = "quill") -> dict[str, Any]:
    return make("model", name, version="1")


def account(name: str = "counter", key: str = KEY, **spec: Any) -> dict:
    return make("account", name, key_sha256=[fleets.key_digest(key)], **spec)


def engine(fleet: fleets.Fleet, name: str, **spec: Any) -> dict[str, Any]:
    """Return the record of an engine stand-in that runs."""
    values = {
        "address": "127.0.0.1",
        "port": fleet.process(name).ports["port"],
        "failure_domain": "sapporo-a",
        "models": ["quill"],
        "memory_tokens": 500_000,
    }
    return make("engine", name, **{**values, **spec})
