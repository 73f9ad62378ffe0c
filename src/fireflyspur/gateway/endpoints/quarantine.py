"""Quarantine of requests that crash the endpoints that run them."""

from collections.abc import Callable
import dataclasses
import hashlib

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.endpoints import crash_sequence
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from fireflyspur.observability import logs

# Crashes after which a request is not run again. A single one can be caused by
# another request on the same endpoint.
_QUARANTINE_CRASHES = 2
# Crashes that are further apart than this are not counted together.
_WINDOW_S = 60.0
# Limits the memory of the quarantine; the oldest requests are removed first.
_MAX_REQUESTS = 10_000

_log = logs.log_for("crashes")


@dataclasses.dataclass(frozen=True)
class RequestCrash:
    """A crash of an endpoint while it ran a request.

    :param sent_at_s: clock time when the request was sent to the endpoint
    :param broke_at_s: clock time when the response broke off
    :param is_reported: whether another node detected it
    """

    fingerprint: str
    instance: str
    sent_at_s: float
    broke_at_s: float
    is_reported: bool = False


@dataclasses.dataclass(frozen=True)
class _CrashRecord:
    crashes: int
    last_instance: str
    last_crash_s: float
    is_reported: bool


def fingerprint_of(request: messages.CallerRequest, caller: str) -> str:
    """Return a digest that is the same when a caller repeats a request.

    :param caller: client account, or API key
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.target, caller.encode(), request.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


class Quarantine:
    """Counts the endpoints that crashed while they ran a request.

    A complete response clears a request: others that run on a crashed
    endpoint are not the cause. A crash counts only for a request that was
    sent after the crash before, so that the loss of many endpoints at once
    counts once.

    :param publish: returns the draft of the next update for all nodes
    """

    def __init__(self, publish: Callable[[], peer_updates.PeerUpdate]) -> None:
        self._publish = publish
        self._records: dict[str, _CrashRecord] = {}

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not be run again."""
        record = self._find(fingerprint)
        return record is not None and record.crashes >= _QUARANTINE_CRASHES

    def record_crash(self, crash: RequestCrash) -> None:
        """Count a crash that this node detected, and broadcast it."""
        now = clock.now_s()
        if not self.add(crash):
            return
        self._publish().crashes.append(
            peer_updates.RequestCrash(
                fingerprint=crash.fingerprint,
                instance=crash.instance,
                sent_ago_ms=_to_ms(now - crash.sent_at_s),
                broke_ago_ms=_to_ms(now - crash.broke_at_s),
            )
        )

    def add(self, crash: RequestCrash) -> bool:
        """Count a crash that any node detected.

        :returns: whether it counts
        """
        record = self._find(crash.fingerprint)
        if record is not None and not _is_later(crash, record):
            return False
        crashes = 1 if record is None else record.crashes + 1
        self._records.pop(crash.fingerprint, None)
        self._records[crash.fingerprint] = _CrashRecord(
            crashes, crash.instance, crash.broke_at_s, crash.is_reported
        )
        while len(self._records) > _MAX_REQUESTS:
            self._records.pop(next(iter(self._records)))
        _log.warning(
            "Answer broke off",
            fingerprint=crash.fingerprint,
            instance=crash.instance,
            crashes=crashes,
        )
        return True

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that got a complete response, and broadcast it."""
        if fingerprint in self._records:
            self.clear(fingerprint)
            self._publish().cleared_requests.append(fingerprint)

    def clear(self, fingerprint: str) -> None:
        """Clear a request to which an endpoint has responded."""
        self._records.pop(fingerprint, None)

    def _find(self, fingerprint: str) -> _CrashRecord | None:
        record = self._records.get(fingerprint)
        if record is None or clock.now_s() - record.last_crash_s > _WINDOW_S:
            return None
        return record


def _is_later(crash: RequestCrash, record: _CrashRecord) -> bool:
    return crash_sequence.is_later(
        sent_at_s=crash.sent_at_s,
        broke_at_s=crash.broke_at_s,
        instance=crash.instance,
        last_crash_s=record.last_crash_s,
        last_instance=record.last_instance,
        is_reported=crash.is_reported or record.is_reported,
    )


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
