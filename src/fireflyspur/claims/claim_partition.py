"""State of one partition's claims, a pure function of a stream's prefix."""

import collections
import dataclasses
from typing import Any

Identity = tuple[str, str, str]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Recorded outcome of a call.

    :param status: HTTP status, or 0 if the response was lost
    :param headers: pairs of name and value
    :param body: base64 text, or None if it was too large to be recorded
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: str | None = ""

    @property
    def is_known(self) -> bool:
        """Whether the response of the service was received."""
        return self.status != 0


@dataclasses.dataclass(frozen=True)
class Claim:
    """Accepted claim on a key that was not released.

    :param identity: account, service and key
    :param deadline: wall-clock time in seconds after which its owner must not
        send the call
    :param takeover_allowed: whether the service fences and replays results
    """

    uid: str
    offset: int
    identity: Identity
    body_hash: str
    deadline: float
    takeover_allowed: bool
    outcome: Outcome | None = None


class ClaimPartition:
    """Decides by offset which claim on a key is live.

    :param retention_s: age in seconds at which records are deleted from the
        log and from this state
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._live: dict[Identity, Claim] = {}
        self._accepted: dict[str, Claim] = {}
        self._void: set[str] = set()
        self._by_age: collections.deque[tuple[float, str, Identity | None]] = (
            collections.deque()
        )

    def live_claim(self, identity: Identity) -> Claim | None:
        """Return the live claim on a key."""
        return self._live.get(identity)

    def is_decided(self, uid: str) -> bool:
        """Whether a claim was accepted or is void."""
        return uid in self._accepted or uid in self._void

    def accepted_claim(self, uid: str) -> Claim | None:
        """Return a claim if it was accepted and is still live."""
        claim = self._accepted.get(uid)
        return None if uid in self._void else claim

    def apply(self, offset: int, time: float, value: dict[str, Any]) -> None:
        """Apply the record at an offset.

        :param offset: offset on the partition's stream
        :param time: time of the append by the log's clock, in seconds
        :param value: the decoded record
        """
        self._expire(time)
        match value.get("type"):
            case "claim":
                self._apply_claim(offset, time, value)
            case "release":
                self._apply_release(time, value["uid"])
            case "outcome":
                self._apply_outcome(value)

    def _apply_claim(
        self, offset: int, time: float, value: dict[str, Any]
    ) -> None:
        uid = value["uid"]
        # A claim that is appended again after a lost response has the same
        # uid; only its first record counts.
        if self.is_decided(uid):
            return
        claim = Claim(
            uid,
            offset,
            (value["account"], value["service"], value["key"]),
            value["body_hash"],
            value["deadline"],
            value["takeover_allowed"],
        )
        self._by_age.append((time, uid, claim.identity))
        previous = self._live.get(claim.identity)
        # Once a key is past the horizon, earlier claims on it may have been
        # deleted from the log, so a claim that arrives late is void.
        if time > value["valid_until"]:
            self._void.add(uid)
        elif previous is None and "takes_over" not in value:
            self._accept(claim)
        elif previous and _may_take_over(previous, claim, time, value):
            self._void.add(previous.uid)
            self._accept(claim)
        else:
            self._void.add(uid)

    def _accept(self, claim: Claim) -> None:
        self._accepted[claim.uid] = claim
        self._live[claim.identity] = claim

    def _apply_release(self, time: float, uid: str) -> None:
        claim = self.accepted_claim(uid)
        if claim is not None and claim.outcome is not None:
            return
        if uid not in self._void:
            self._void.add(uid)
            self._by_age.append((time, uid, None))
        if claim is not None:
            del self._live[claim.identity]

    def _apply_outcome(self, value: dict[str, Any]) -> None:
        claim = self.accepted_claim(value["uid"])
        if claim is None or claim.outcome is not None:
            return
        outcome = Outcome(
            value["status"],
            tuple((name, text) for name, text in value["headers"]),
            value["body"],
        )
        claim = dataclasses.replace(claim, outcome=outcome)
        self._accept(claim)

    def _expire(self, now: float) -> None:
        """Remove claims whose records the log has deleted."""
        limit = now - self._retention_s
        while self._by_age and self._by_age[0][0] < limit:
            _, uid, identity = self._by_age.popleft()
            self._accepted.pop(uid, None)
            self._void.discard(uid)
            live = self._live.get(identity) if identity else None
            if live is not None and live.uid == uid:
                del self._live[identity]


def _may_take_over(
    previous: Claim, claim: Claim, time: float, value: dict[str, Any]
) -> bool:
    return (
        value.get("takes_over") == previous.uid
        and previous.takeover_allowed
        and claim.takeover_allowed
        and time >= previous.deadline
        and previous.body_hash == claim.body_hash
        and not (previous.outcome and previous.outcome.is_known)
    )
