"""At-most-once execution of calls, based on claims in the log."""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import time
from typing import Any
import uuid

from fireflyspur.claims import claim_partition
from fireflyspur.claims import exceptions
from fireflyspur.claims import group_committer
from fireflyspur.claims import idempotency_key
from fireflyspur.claims import partition_reader
from fireflyspur.claims import pause_points
from fireflyspur.clients import exceptions as client_exceptions
from fireflyspur.clients import log_client
from fireflyspur.clients import service_client
from fireflyspur.errors import verdict
from fireflyspur.observability import logs
from fireflyspur.records import catalog as catalogs

MAX_BODY_BYTES = 16 * 1024

_DUPLICATE_WAIT_S = 2.0
_RETRY_AFTER_S = 1.0
_CLOSE_TIMEOUT_S = 10.0

_log = logs.log_for("claims")

Send = Callable[
    [claim_partition.Claim], Awaitable[service_client.ServiceResponse]
]


@dataclasses.dataclass(frozen=True)
class IdempotentCall:
    """A call that must not run twice.

    :param key: text of the idempotency key
    :param body_hash: hash of everything that identifies the call's content
    :param deadline: wall-clock time in seconds
    :param takeover_allowed: whether the service fences and replays results
    """

    account: str
    service: str
    key: str
    body_hash: str
    deadline: float
    takeover_allowed: bool


@dataclasses.dataclass(frozen=True)
class CallResult:
    """Response to a call.

    :param is_replayed: whether it was recorded by an earlier request
    """

    response: service_client.ServiceResponse
    is_replayed: bool


@dataclasses.dataclass(frozen=True)
class _OpenPartition:
    reader: partition_reader.PartitionReader
    committer: group_committer.GroupCommitter
    task: "asyncio.Task[None]"

    @property
    def state(self) -> claim_partition.ClaimPartition:
        return self.reader.partition


class ClaimLedger:
    """Runs each call at most once by claiming its key in the log.

    :param log: client of the log
    :param catalog: the current configuration records
    :param node_name: name of the node
    :param log_timeout_s: seconds after which a slow log counts as unavailable
    :param poll_wait_s: seconds for which a read waits for new records
    :param points: points at which a test pauses the node
    """

    def __init__(
        self,
        log: log_client.LogClient,
        catalog: catalogs.Catalog,
        node_name: str,
        log_timeout_s: float,
        poll_wait_s: float,
        points: pause_points.PausePoints,
    ) -> None:
        self._log = log
        self._catalog = catalog
        self._node_name = node_name
        self._log_timeout_s = log_timeout_s
        self._poll_wait_s = poll_wait_s
        self._points = points
        self._partitions: dict[str, _OpenPartition] = {}
        self._info: log_client.LogInfo | None = None

    async def run(self, call: IdempotentCall, send: Send) -> CallResult:
        """Run a call, or return its recorded response.

        :param send: sends the call of an accepted claim, whose offset is the
            fencing token. It raises an error with the verdict ``not_run``
            only if the call was not run and never will be.
        :raises FireflyspurError: if there is no response; its verdict says
            whether the call may have run
        """
        key, valid_until = idempotency_key.check(
            call.key, await self._checked_horizon_s(), time.time()
        )
        call = dataclasses.replace(call, key=key)
        identity = (call.account, call.service, key)
        partition = await self._open_partition(identity)
        while True:
            previous = partition.state.live_claim(identity)
            if previous and not _may_take_over(previous, call):
                response = await self._previous_response(
                    partition, previous, call
                )
                if response is not None:
                    return CallResult(response, True)
                continue
            claim = await self._claim(partition, call, previous, valid_until)
            if claim is not None:
                response = await self._send(
                    partition, claim, send, valid_until
                )
                return CallResult(response, False)
            _check_time_left(call.deadline)

    async def close(self) -> None:
        """Wait for pending appends until a timeout, then stop the readers."""
        opened = list(self._partitions.values())
        unappended = await asyncio.gather(
            *(p.committer.close(_CLOSE_TIMEOUT_S) for p in opened)
        )
        for partition in opened:
            partition.task.cancel()
        await asyncio.gather(*(p.task for p in opened), return_exceptions=True)
        if sum(unappended):
            _log.error("{} claim records were not appended", sum(unappended))

    async def _checked_horizon_s(self) -> float:
        if self._catalog.get("fleet", "default") is None:
            raise exceptions.ClaimsNotConfiguredError(
                "no fleet record defines the number of claim partitions"
            )
        if self._info is None:
            try:
                async with asyncio.timeout(self._log_timeout_s):
                    self._info = await self._log.info()
            except (TimeoutError, client_exceptions.LogUnavailableError):
                raise _log_unavailable() from None
        horizon_s = self._catalog.fleet().idempotency_horizon_s
        min_retention_s = horizon_s + idempotency_key.RETENTION_MARGIN_S
        if min_retention_s >= self._info.retention_s:
            raise exceptions.ClaimsNotConfiguredError(
                f"an idempotency horizon of {horizon_s:.0f} s is too long for"
                f" a log that keeps records for {self._info.retention_s:.0f} s"
            )
        return horizon_s

    async def _open_partition(
        self, identity: claim_partition.Identity
    ) -> _OpenPartition:
        stream = stream_name(identity, self._catalog.fleet().claim_partitions)
        partition = self._partitions.get(stream)
        if partition is None:
            partition = self._start_partition(stream)
        partition.reader.touch()
        reader = partition.reader
        if not await reader.wait_until(
            lambda: reader.is_loaded, self._log_timeout_s
        ):
            raise _log_unavailable()
        return partition

    def _start_partition(self, stream: str) -> _OpenPartition:
        retention_s = self._info.retention_s if self._info else 0.0
        reader = partition_reader.PartitionReader(
            self._log,
            stream,
            claim_partition.ClaimPartition(retention_s),
            self._poll_wait_s,
        )
        committer = group_committer.GroupCommitter(
            self._log, stream, lambda: reader.next_offset
        )
        task = asyncio.ensure_future(reader.run())
        partition = _OpenPartition(reader, committer, task)
        self._partitions[stream] = partition
        task.add_done_callback(lambda _: self._remove_partition(stream))
        return partition

    def _remove_partition(self, stream: str) -> None:
        partition = self._partitions.pop(stream)
        if not partition.task.cancelled() and partition.task.exception():
            # A state that missed a record must not decide on claims, so it is
            # discarded and the next call reads the stream again.
            _log.error(
                "Reader of stream {} failed: {}",
                stream,
                partition.task.exception(),
            )

    async def _claim(
        self,
        partition: _OpenPartition,
        call: IdempotentCall,
        previous: claim_partition.Claim | None,
        valid_until: float,
    ) -> claim_partition.Claim | None:
        """Append a claim and read it back; return None if it is void."""
        uid = str(uuid.uuid4())
        record = self._claim_record(uid, call, valid_until)
        if previous is not None:
            record["takes_over"] = previous.uid
        self._points.reach("before_claim")
        appended = partition.committer.submit(record, valid_until)
        if self._points.is_active("after_claim"):
            await asyncio.wait({appended}, timeout=self._log_timeout_s)
            self._points.reach("after_claim")
        if not await partition.reader.wait_until(
            lambda: partition.state.is_decided(uid),
            min(self._log_timeout_s, call.deadline - time.time()),
        ):
            self._release(partition, uid, valid_until)
            raise _log_unavailable()
        return partition.state.accepted_claim(uid)

    def _claim_record(
        self, uid: str, call: IdempotentCall, valid_until: float
    ) -> dict[str, Any]:
        return {
            "type": "claim",
            "uid": uid,
            "account": call.account,
            "service": call.service,
            "key": call.key,
            "body_hash": call.body_hash,
            "node": self._node_name,
            "deadline": call.deadline,
            "valid_until": valid_until,
            "takeover_allowed": call.takeover_allowed,
        }

    def _release(
        self, partition: _OpenPartition, uid: str, expires_at: float
    ) -> "asyncio.Future[None] | None":
        """Give up a claim under which no call is or will be sent."""
        if partition.committer.withdraw(uid):
            return None
        return partition.committer.submit(
            {"type": "release", "uid": uid}, expires_at
        )

    async def _send(
        self,
        partition: _OpenPartition,
        claim: claim_partition.Claim,
        send: Send,
        valid_until: float,
    ) -> service_client.ServiceResponse:
        self._points.reach("before_send")
        outcome: dict[str, Any] = {"status": 0, "headers": [], "body": ""}
        released = False
        try:
            _check_time_left(claim.deadline)
            response = await send(claim)
            self._points.reach("after_answer")
            outcome = _to_outcome(response)
        except Exception as error:
            if getattr(error, "verdict", None) is verdict.Verdict.NOT_RUN:
                released = True
            raise
        finally:
            record = {"type": "release", "uid": claim.uid}
            if not released:
                record = {"type": "outcome", "uid": claim.uid, **outcome}
            appended = partition.committer.submit(record, valid_until)
            await asyncio.wait({appended}, timeout=self._log_timeout_s)
        self._points.reach("after_outcome")
        return response

    async def _previous_response(
        self,
        partition: _OpenPartition,
        previous: claim_partition.Claim,
        call: IdempotentCall,
    ) -> service_client.ServiceResponse | None:
        """Return the recorded response, or None if the claim was released."""
        if previous.body_hash != call.body_hash:
            raise exceptions.KeyReusedError(
                "the Idempotency-Key was used for a call with other content"
            )

        def live_claim() -> claim_partition.Claim | None:
            return partition.state.live_claim(previous.identity)

        def is_finished() -> bool:
            claim = live_claim()
            return claim is None or claim.outcome is not None

        wait_s = min(_DUPLICATE_WAIT_S, call.deadline - time.time())
        if not await partition.reader.wait_until(is_finished, wait_s):
            raise exceptions.CallInProgressError(
                "another request with this Idempotency-Key is in progress",
                verdict=verdict.Verdict.MAY_HAVE_RUN,
                retry_after_s=_RETRY_AFTER_S,
            )
        claim = live_claim()
        if claim is None:
            _check_time_left(call.deadline)
            return None
        return _to_response(claim.outcome)


def stream_name(identity: claim_partition.Identity, partitions: int) -> str:
    """Return the name of the stream that holds the claims on a key.

    :param identity: account, service and key
    :param partitions: number of partitions of the fleet
    """
    digest = hashlib.sha256("\0".join(identity).encode()).digest()
    return f"claims-{int.from_bytes(digest[:8], 'big') % partitions}"


def _may_take_over(
    previous: claim_partition.Claim, call: IdempotentCall
) -> bool:
    return (
        call.takeover_allowed
        and previous.takeover_allowed
        and previous.body_hash == call.body_hash
        and time.time() >= previous.deadline
        and not (previous.outcome and previous.outcome.is_known)
    )


def _to_outcome(response: service_client.ServiceResponse) -> dict[str, Any]:
    body = None
    if len(response.body) <= MAX_BODY_BYTES:
        body = base64.b64encode(response.body).decode()
    return {
        "status": response.status,
        "headers": [list(pair) for pair in response.headers],
        "body": body,
    }


def _to_response(
    outcome: claim_partition.Outcome | None,
) -> service_client.ServiceResponse:
    if outcome is None or not outcome.is_known:
        raise exceptions.OutcomeUnknownError(
            "the call was already sent, and its response was lost",
            verdict=verdict.Verdict.MAY_HAVE_RUN,
        )
    if outcome.body is None:
        raise exceptions.OutcomeNotKeptError(
            f"the call ran with status {outcome.status}; its response was too"
            " large to be recorded",
            verdict=verdict.Verdict.RAN,
        )
    return service_client.ServiceResponse(
        outcome.status, outcome.headers, base64.b64decode(outcome.body)
    )


def _check_time_left(deadline: float) -> None:
    if time.time() >= deadline:
        raise client_exceptions.ServiceUnavailableError(
            "the time limit passed before the call was sent",
            retry_after_s=_RETRY_AFTER_S,
        )


def _log_unavailable() -> client_exceptions.LogUnavailableError:
    return client_exceptions.LogUnavailableError(
        "the log did not accept the claim in time",
        retry_after_s=_RETRY_AFTER_S,
    )
