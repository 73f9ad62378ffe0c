"""Quarantine of requests that crash the endpoints that run them."""

from collections.abc import Callable
import dataclasses
import hashlib

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import messages
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
class _CrashRecord:
    instances: frozenset[str]
    last_crash_s: float


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

    :param publish: broadcasts a crash to the other nodes
    """

    def __init__(self, publish: Callable[[str, str], None]) -> None:
        self._publish = publish
        self._records: dict[str, _CrashRecord] = {}

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not be run again."""
        record = self._records.get(fingerprint)
        if record is None or clock.now_s() - record.last_crash_s > _WINDOW_S:
            return False
        return len(record.instances) >= _QUARANTINE_CRASHES

    def record_crash(self, fingerprint: str, instance: str) -> None:
        """Count a crash that this node detected, and broadcast it."""
        if self.add(fingerprint, instance):
            self._publish(fingerprint, instance)

    def add(self, fingerprint: str, instance: str) -> bool:
        """Count a crash that any node detected.

        :returns: whether the crash is new
        """
        now = clock.now_s()
        record = self._records.pop(fingerprint, None)
        if record is None or now - record.last_crash_s > _WINDOW_S:
            record = _CrashRecord(frozenset(), now)
        is_new = instance not in record.instances
        instances = record.instances | {instance}
        self._records[fingerprint] = _CrashRecord(instances, now)
        while len(self._records) > _MAX_REQUESTS:
            self._records.pop(next(iter(self._records)))
        if is_new:
            _log.warning(
                "Answer broke off",
                fingerprint=fingerprint,
                instance=instance,
                crashes=len(instances),
            )
        return is_new
