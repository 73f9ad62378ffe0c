"""Quarantine of requests that crash engines."""

import asyncio
from collections.abc import Callable
import hashlib
import time
from typing import Any

from fireflyspur.audit import audit_trail
from fireflyspur.clients import engine_client
from fireflyspur.clients import log_client
from fireflyspur.engines import crash_counts
from fireflyspur.engines import crash_reporter
from fireflyspur.engines import engine_crash
from fireflyspur.engines import exceptions
from fireflyspur.engines import faults_stream
from fireflyspur.engines import prompt_request
from fireflyspur.engines import suspect_trials
from fireflyspur.errors import verdict as verdicts
from fireflyspur.observability import logs

_EXPIRY_CHECK_S = 1.0

_log = logs.log_for("engines")


def fingerprint_of(request: prompt_request.PromptRequest) -> str:
    """Return a digest that identifies a request regardless of its id."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.account, request.model, request.prompt):
        data = part.encode(errors="surrogatepass")
        digest.update(len(data).to_bytes(8))
        digest.update(data)
    return digest.hexdigest()


class Quarantine:
    """Counts crashes by fingerprint and refuses requests that have two.

    :param client: client of the engines
    :param log: client of the log
    :param quarantine_s: returns the duration of a quarantine
    :param trail: records each crash, quarantine and expiry
    :param owner: name and incarnation of this node
    :param poll_wait_s: seconds that a read waits for new records
    :param publish: sends a crash to the other nodes
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        log: log_client.LogClient,
        quarantine_s: Callable[[], float],
        trail: audit_trail.AuditTrail,
        owner: str,
        poll_wait_s: float,
        publish: Callable[[engine_crash.EngineCrash], None],
    ) -> None:
        self._trail = trail
        self._owner = owner
        self._publish = publish
        self._counts = crash_counts.CrashCounts(quarantine_s)
        self._stream = faults_stream.FaultsStream(
            log, self._apply, poll_wait_s
        )
        self._reporter = crash_reporter.CrashReporter(client, self._record)
        self._trials = suspect_trials.SuspectTrials(
            self._counts, self._stream, owner
        )
        self._quarantined: set[str] = set()
        self._seen_uids: set[str] = set()

    @property
    def reporter(self) -> crash_reporter.CrashReporter:
        """The tracker of attempts that detects crashes."""
        return self._reporter

    @property
    def trials(self) -> suspect_trials.SuspectTrials:
        """The trials of suspects."""
        return self._trials

    async def run(self) -> None:
        """Follow the ``faults`` stream until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._stream.run())
            group.create_task(self._stream.run_appends())
            group.create_task(self._watch_expiry())

    async def close(self) -> None:
        """Wait for checks in progress and send the pending records."""
        await self._reporter.close()
        await self._stream.close()

    async def wait_until_read(self) -> None:
        """Wait until the stream has been read once, or cannot be read."""
        await self._stream.wait_until_read()

    def check(self, fingerprint: str, verdict: verdicts.Verdict) -> None:
        """Check that a request is not quarantined.

        :param verdict: whether the request may have run before
        :raises RequestQuarantinedError: if it is quarantined
        """
        until = self._counts.quarantined_until(fingerprint, time.time())
        if until is not None:
            raise exceptions.RequestQuarantinedError(
                "the request crashed two engines and is refused for"
                f" {max(0, until - time.time()):.0f} s",
                verdict=verdict,
            )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a fingerprint has an unexpired crash."""
        return self._counts.count(fingerprint, time.time()) > 0

    def receive(self, crash: engine_crash.EngineCrash) -> None:
        """Count a crash before its record has been read from the stream."""
        if crash.uid in self._seen_uids:
            return
        self._record_in_trail(crash, None)
        self._counts.add_unlogged(crash, time.time())
        self._handle_crash(crash)

    def view(self) -> dict[str, Any]:
        """Return the state for operators."""
        now = time.time()
        return {
            "quarantined": self._counts.quarantined(now),
            "suspects": sorted(self._counts.suspects(now)),
            "trials": {
                t.fingerprint: t.engine for t in self._counts.trials(now)
            },
            "log_reachable": self._stream.is_reachable,
        }

    async def _record(self, crash: engine_crash.EngineCrash) -> None:
        _log.warning(
            "Engine {} crashed with {} requests of this node",
            crash.engine,
            len(crash.fingerprints),
        )
        is_read_back = await self._stream.append(crash.to_record(self._owner))
        if not is_read_back:
            self.receive(crash)
        self._publish(crash)

    def _apply(self, record: log_client.LogRecord) -> None:
        self._counts.apply(record.offset, record.time, record.value)
        crash = engine_crash.EngineCrash.from_record(record.value)
        if crash:
            if crash.uid not in self._seen_uids:
                self._record_in_trail(crash, record.offset)
            self._handle_crash(crash)
        self._trials.notify()

    def _record_in_trail(
        self, crash: engine_crash.EngineCrash, offset: int | None
    ) -> None:
        self._seen_uids.add(crash.uid)
        self._trail.add(
            "engines",
            "crash_recorded",
            f"engine/{crash.engine}",
            f"crashed with {len(crash.fingerprints)} requests in its batch",
            offset,
        )

    def _handle_crash(self, crash: engine_crash.EngineCrash) -> None:
        now = time.time()
        for fingerprint in crash.fingerprints:
            if not self._counts.count(fingerprint, now):
                continue
            self._trials.delay_next_trial(fingerprint)
            until = self._counts.quarantined_until(fingerprint, now)
            if until is not None and fingerprint not in self._quarantined:
                self._record_quarantine(fingerprint, crash.engine)
        self._interrupt_attempts(crash)

    def _record_quarantine(self, fingerprint: str, engine: str) -> None:
        self._quarantined.add(fingerprint)
        self._trail.add(
            "engines",
            "quarantined",
            f"request/{fingerprint}",
            f"{crash_counts.CRASHES_TO_QUARANTINE} engines crashed with it,"
            f" the last one {engine}",
        )
        _log.warning("Request {} quarantined", fingerprint)

    def _interrupt_attempts(self, crash: engine_crash.EngineCrash) -> None:
        """Interrupt attempts of the same requests on other engines.

        A suspect then runs only once in the whole fleet, in a trial, so that
        a request that crashes engines does not crash a third one.
        """
        for active in self._reporter.active_attempts:
            if active.fingerprint not in crash.fingerprints:
                continue
            is_elsewhere = (active.engine.name, active.incarnation) != (
                crash.engine,
                crash.incarnation,
            )
            must_end = active.fingerprint in self._quarantined
            if (
                active.attempt
                and is_elsewhere
                and (must_end or not active.is_trial)
            ):
                active.attempt.interrupt()

    async def _watch_expiry(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_CHECK_S)
            self._counts.remove_expired(time.time())
            for fingerprint in list(self._quarantined):
                if not self._counts.count(fingerprint, time.time()):
                    self._quarantined.discard(fingerprint)
                    self._trail.add(
                        "engines",
                        "quarantine_expired",
                        f"request/{fingerprint}",
                        "no engine crashed with it during the quarantine",
                    )
