"""Records of crashed engines on the ``faults`` stream."""

from typing import Any

from fireflyspur.membership import news


def from_record(value: dict[str, Any]) -> news.EngineCrash | None:
    """Return the crash that a record of the log describes, or None."""
    match value:
        case {
            "kind": "crash",
            "uid": str(uid),
            "engine": str(engine),
            "incarnation": str(incarnation),
            "fingerprints": [*fingerprints],
        } if all(isinstance(f, str) for f in fingerprints):
            return news.EngineCrash(
                uid, engine, incarnation, tuple(fingerprints)
            )
    return None


def to_record(crash: news.EngineCrash, node: str) -> dict[str, Any]:
    """Return the record for the log.

    :param node: name and incarnation of the reporting node
    """
    return {
        "kind": "crash",
        "uid": crash.uid,
        "node": node,
        "engine": crash.engine,
        "incarnation": crash.incarnation,
        "fingerprints": list(crash.fingerprints),
    }
