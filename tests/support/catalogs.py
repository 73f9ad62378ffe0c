"""Catalogs for tests of single parts."""

from typing import Any

from fireflyspur.records import catalog


def make(*values: dict[str, Any]) -> catalog.Catalog:
    """Return a catalog in which the records are in force."""
    made = catalog.Catalog()
    for offset, value in enumerate(values, 1):
        made.apply(offset, 0.0, value)
    return made


def engine(name: str, **spec: Any) -> dict[str, Any]:
    values = {
        "address": "127.0.0.1",
        "port": 1 + sum(name.encode()),
        "failure_domain": "sapporo-a",
        "models": ["quill"],
        "memory_tokens": 500_000,
    }
    return {
        "schema_version": 1,
        "kind": "engine",
        "name": name,
        "spec": {**values, **spec},
    }


def policy(**spec: Any) -> dict[str, Any]:
    return {
        "schema_version": 1,
        "kind": "policy",
        "name": "default",
        "spec": spec,
    }
