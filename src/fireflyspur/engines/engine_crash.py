"""News about the crash of an engine."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class EngineCrash:
    """An engine crashed while it ran requests of a node.

    :param uid: identity of the record on the ``faults`` stream
    :param engine: name of the engine
    :param incarnation: which start of the engine crashed
    :param fingerprints: requests of the reporting node on the engine
    """

    uid: str
    engine: str
    incarnation: str
    fingerprints: tuple[str, ...]

    @classmethod
    def from_record(cls, value: dict[str, Any]) -> "EngineCrash | None":
        """Return the crash that a record of the log describes, or None."""
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
