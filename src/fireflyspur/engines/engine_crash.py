"""Report of an engine crash."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class EngineCrash:
    """Crash of an engine that was running requests of a node.

    :param uid: unique id of the record on the ``faults`` stream
    :param engine: name of the engine
    :param incarnation: incarnation of the engine that crashed
    :param fingerprints: fingerprints of the reporting node's requests on the
        engine
    """

    uid: str
    engine: str
    incarnation: str
    fingerprints: tuple[str, ...]

    @classmethod
    def from_record(cls, value: dict[str, Any]) -> "EngineCrash | None":
        """Return the crash in a record of the log, or None."""
        match value:
            case {
                "kind": "crash",
                "uid": str(uid),
                "engine": str(engine),
                "incarnation": str(incarnation),
                "fingerprints": [*fingerprints],
            } if all(isinstance(f, str) for f in fingerprints):
                return cls(uid, engine, incarnation, tuple(fingerprints))
        return None

    def to_record(self, node: str) -> dict[str, Any]:
        """Return the record for the log.

        :param node: name and incarnation of the reporting node
        """
        return {
            "kind": "crash",
            "uid": self.uid,
            "node": node,
            "engine": self.engine,
            "incarnation": self.incarnation,
            "fingerprints": list(self.fingerprints),
        }
