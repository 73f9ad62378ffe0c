"""Share of the requests that fail on each endpoint."""

from collections.abc import Container
import dataclasses
import random

from fireflyspur.gateway.common import clock

# Half-life of the counts of requests and errors.
_HALF_LIFE_S = 5.0
# Sound requests that are assumed before the first observation.
_PRIOR_REQUESTS = 2.0
# Requests that fail within this time have one cause, such as a crash.
_MIN_INTERVAL_S = 0.25
# Rate from which on an endpoint always has its penalty. Below, it has none for
# a part of the selections, so that it regains its share gradually even where
# sound endpoints are idle.
_ALWAYS_RATE = 0.25
# A record is dropped when this little is left of its errors.
_MIN_ERRORS = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """Decayed counts of an endpoint.

    :param counted_at_s: clock time of the counts
    :param error_at_s: clock time of the latest error
    :param since_s: clock time of the first error
    """

    errors: float
    requests: float
    counted_at_s: float
    error_at_s: float
    since_s: float

    def at(self, now: float) -> "_Record":
        """Return the record with the counts as of now."""
        share = 0.5 ** ((now - self.counted_at_s) / _HALF_LIFE_S)
        return dataclasses.replace(
            self,
            errors=self.errors * share,
            requests=self.requests * share,
            counted_at_s=now,
        )


class ErrorRates:
    """Keeps the rate of errors of endpoints that have had any.

    Each node of a pool sends an endpoint few requests, so what other nodes
    report counts as well.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def add_error(self, instance: str) -> bool:
        """Count a request that failed.

        :returns: False if the error has the same cause as the one before
        """
        now = clock.now_s()
        record = self._records.get(instance, _Record(0.0, 0.0, now, now, now))
        if record.errors and now - record.error_at_s < _MIN_INTERVAL_S:
            return False
        record = record.at(now)
        self._records[instance] = dataclasses.replace(
            record,
            errors=record.errors + 1,
            requests=max(record.requests, record.errors + 1),
            error_at_s=now,
        )
        return True

    def add_request(self, instance: str) -> None:
        """Count a request that is sent to an endpoint."""
        record = self._records.get(instance)
        if record is None:
            return
        record = record.at(clock.now_s())
        if record.errors < _MIN_ERRORS:
            del self._records[instance]
            return
        self._records[instance] = dataclasses.replace(
            record, requests=record.requests + 1
        )

    def forgive(self, instance: str) -> None:
        """Drop one error of an endpoint that has restarted.

        An endpoint that crashes again and again keeps the others.
        """
        record = self._records.pop(instance, None)
        if record is None:
            return
        record = record.at(clock.now_s())
        if record.errors > 1:
            self._records[instance] = dataclasses.replace(
                record, errors=record.errors - 1
            )

    def forget(self, since_s: float) -> None:
        """Forget endpoints that had no errors before a time."""
        self._records = {
            instance: record
            for instance, record in self._records.items()
            if record.since_s < since_s
        }

    def keep_only(self, instances: Container[str]) -> None:
        """Forget endpoints that are not listed any more."""
        now = clock.now_s()
        self._records = {
            instance: record
            for instance, record in self._records.items()
            if instance in instances and record.at(now).errors >= _MIN_ERRORS
        }

    def rate(self, instance: str) -> float:
        """Return the share of requests that failed lately."""
        record = self._records.get(instance)
        if record is None:
            return 0.0
        record = record.at(clock.now_s())
        return record.errors / (record.requests + _PRIOR_REQUESTS)

    def draw_penalty(self, instance: str) -> float:
        """Return the rate of an endpoint for one selection, or 0."""
        rate = self.rate(instance)
        return rate if random.random() * _ALWAYS_RATE < rate else 0.0
