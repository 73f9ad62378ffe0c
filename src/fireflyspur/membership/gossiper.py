"""Periodic exchange of gossip with other members."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time

from fireflyspur.generated import peer_pb2
from fireflyspur.membership import member
from fireflyspur.membership import member_table
from fireflyspur.membership import peer_client
from fireflyspur.membership import update_queue
from fireflyspur.observability import logs

_SMALL_FLEET = 16
_INDIRECT_PROBES = 2
_JOIN_EXCHANGES = 5
# The VM list lags and may still show nodes that have ended, so a node that
# does not respond is only retried after this time. The retries reunite the
# sides of a partition that have removed each other.
_CANDIDATE_RETRY_S = 10.0
# A process younger than this is still learning the members and gets full
# responses.
_YOUNG_MS = 60_000
_RECENT_PROBES = 10
# Each message contains some members besides the updates, so that tables that
# diverged after lost messages converge again.
_EXTRA_MEMBERS = 1

_log = logs.log_for("gossip")


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A node's report on its configuration.

    :param config_offset: offset up to which it has applied the stream
    :param config_age_s: seconds since the node was known to be at the end of
        the stream
    :param log_reachable: whether its own last read succeeded
    """

    config_offset: int
    config_age_s: float
    log_reachable: bool


@dataclasses.dataclass(frozen=True)
class PeerReport:
    """A heartbeat in the response of a peer.

    :param sent_at: monotonic time at which the request was sent; the response
        may have been buffered while this process was paused
    """

    peer: member.Member
    heartbeat: Heartbeat
    sent_at: float


class Gossiper:
    """Exchanges gossip and detects members that do not respond.

    :param table: the members
    :param client: calls the members
    :param heartbeat: returns this node's report on its configuration
    :param period_s: seconds between two exchanges in large fleets; small
        fleets use half of it
    :param random_source: chooses members
    """

    def __init__(
        self,
        table: member_table.MemberTable,
        client: peer_client.PeerClient,
        heartbeat: Callable[[], Heartbeat],
        period_s: float = 1.0,
        random_source: random.Random | None = None,
    ) -> None:
        self._table = table
        self._client = client
        self._heartbeat = heartbeat
        self._full_period_s = period_s
        self._random = random_source or random.Random()
        self._remaining_targets: list[str] = []
        self._retry_at: dict[str, float] = {}
        self._suspected_at: dict[str, tuple[int, float]] = {}
        self._recent_results: list[bool] = []
        self._failing: set[str] = set()
        self._listeners: list[Callable[[PeerReport], None]] = []
        self._messages = 0
        self._message_bytes = 0
        table.add_listener(self._watch_change)

    @property
    def period_s(self) -> float:
        """Seconds between two exchanges."""
        small = len(self._table.members()) <= _SMALL_FLEET
        return self._full_period_s / 2 if small else self._full_period_s

    @property
    def failing(self) -> set[str]:
        """Members whose last probe by this node failed."""
        return set(self._failing)

    @property
    def traffic(self) -> tuple[int, int]:
        """Number of messages sent and their bytes, without gRPC framing."""
        return self._messages, self._message_bytes

    def most_probes_succeeded(self) -> bool:
        """Whether most of the recent probes succeeded."""
        return (
            2 * sum(self._recent_results) > len(self._recent_results)
            or not self._recent_results
        )

    def add_report_listener(
        self, listener: Callable[[PeerReport], None]
    ) -> None:
        """Call a function with the report in each response."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Exchange gossip until cancelled."""
        while True:
            started = time.monotonic()
            await self.run_period()
            elapsed = time.monotonic() - started
            await asyncio.sleep(max(0.0, self.period_s - elapsed))

    async def run_period(self) -> None:
        """Exchange gossip with the next member and with some candidates."""
        self.expire_suspicions()
        target = self._next_target()
        probes = [] if target is None else [self._probe(target)]
        await asyncio.gather(self.join(), *probes)

    async def join(self) -> None:
        """Exchange gossip with some nodes that are not members yet."""
        now = time.monotonic()
        due = [
            c
            for c in self._table.candidates()
            if now >= self._retry_at.get(c.name, now)
        ]
        chosen = self._random.sample(due, min(_JOIN_EXCHANGES, len(due)))
        for candidate in chosen:
            self._retry_at[candidate.name] = now + _CANDIDATE_RETRY_S
        await asyncio.gather(*(self.exchange(c) for c in chosen))

    async def exchange(self, target: member.Member) -> bool:
        """Exchange gossip with one member.

        :returns: whether the member responded
        """
        sent_at = time.monotonic()
        request = self._make_gossip(_EXTRA_MEMBERS, target.name)
        self._count(request)
        response = await self._client.exchange(
            target.target, request, self.period_s
        )
        if response is None:
            return False
        sender = member.from_message(response.sender)
        if sender is None or sender.name != target.name:
            return False
        self._failing.discard(sender.name)
        self._merge(response)
        report = PeerReport(sender, _to_heartbeat(response), sent_at)
        for listener in self._listeners:
            listener(report)
        return True

    def handle_exchange(self, request: peer_pb2.Gossip) -> peer_pb2.Gossip:
        """Merge the gossip of another member and return the response."""
        self._merge(request)
        age_ms = time.time() * 1000 - request.sender.incarnation
        response = self._make_gossip(
            update_queue.MAX_UPDATES if age_ms < _YOUNG_MS else _EXTRA_MEMBERS,
            request.sender.name,
        )
        self._count(response)
        return response

    async def handle_probe(self, request: peer_pb2.ProbeRequest) -> bool:
        """Probe a member on behalf of another one."""
        target = member.from_message(request.target)
        return target is not None and await self.exchange(target)

    def expire_suspicions(self) -> None:
        """Mark members as dead that have been suspected for too long."""
        count = len(self._table.members())
        limit_s = update_queue.send_limit(count) * self.period_s
        now = time.monotonic()
        for name, (incarnation, since) in list(self._suspected_at.items()):
            current = self._table.get(name)
            if current is None or current.incarnation != incarnation:
                del self._suspected_at[name]
            elif now - since >= limit_s:
                del self._suspected_at[name]
                dead = dataclasses.replace(
                    current, state=member.MemberState.DEAD
                )
                self._table.apply(dead)

    async def _probe(self, target: member.Member) -> None:
        if await self.exchange(target) or await self._probe_indirectly(target):
            self._record_result(target, True)
            return
        self._record_result(target, False)
        current = self._table.get(target.name)
        # The member may have restarted or refuted during the probe.
        if (
            current is None
            or current.incarnation != target.incarnation
            or current.state is member.MemberState.DEAD
        ):
            return
        if current.state is member.MemberState.LEAVING:
            # A leaving member stays leaving until the timeout.
            self._suspected_at.setdefault(
                current.name, (current.incarnation, time.monotonic())
            )
            return
        self._table.apply(
            dataclasses.replace(current, state=member.MemberState.SUSPECT)
        )

    async def _probe_indirectly(self, target: member.Member) -> bool:
        helpers = [m for m in self._table.others() if m.name != target.name]
        chosen = self._random.sample(
            helpers, min(_INDIRECT_PROBES, len(helpers))
        )
        request = peer_pb2.ProbeRequest(target=target.to_message())
        # The helper itself waits up to one period for the target.
        timeout_s = 2 * self.period_s
        results = await asyncio.gather(
            *(
                self._client.probe(helper.target, request, timeout_s)
                for helper in chosen
            )
        )
        return any(results)

    def _record_result(self, target: member.Member, succeeded: bool) -> None:
        if succeeded:
            self._failing.discard(target.name)
        else:
            self._failing.add(target.name)
        count = min(_RECENT_PROBES, len(self._table.others()))
        self._recent_results = [*self._recent_results, succeeded][
            -max(1, count) :
        ]

    def _next_target(self) -> member.Member | None:
        members = {m.name: m for m in self._table.others()}
        while members:
            while self._remaining_targets:
                target = members.get(self._remaining_targets.pop())
                if target is not None:
                    return target
            self._remaining_targets = list(members)
            self._random.shuffle(self._remaining_targets)
        return None

    def _make_gossip(
        self, extra_count: int, recipient: str
    ) -> peer_pb2.Gossip:
        heartbeat = self._heartbeat()
        updates = {u.name: u for u in self._table.take_updates()}
        known_recipient = self._table.get(recipient)
        if known_recipient is not None and known_recipient.state in (
            member.MemberState.SUSPECT,
            member.MemberState.DEAD,
        ):
            # A member can only refute a suspicion that it receives.
            updates = dict(
                list(updates.items())[: update_queue.MAX_UPDATES - 1]
            )
            updates[recipient] = known_recipient
        count = min(extra_count, update_queue.MAX_UPDATES - len(updates))
        others = [m for m in self._table.others() if m.name != recipient]
        for extra in self._random.sample(others, min(count, len(others))):
            updates.setdefault(extra.name, extra)
        return peer_pb2.Gossip(
            sender=self._table.own.to_message(),
            config_offset=heartbeat.config_offset,
            config_age_ms=round(min(heartbeat.config_age_s, 1e9) * 1000),
            log_reachable=heartbeat.log_reachable,
            updates=[u.to_message() for u in updates.values()],
        )

    def _merge(self, gossip: peer_pb2.Gossip) -> None:
        for message in [gossip.sender, *gossip.updates]:
            update = member.from_message(message)
            if update is not None:
                self._table.apply(update)

    def _watch_change(
        self, previous: member.Member | None, current: member.Member
    ) -> None:
        if current.state is member.MemberState.SUSPECT:
            self._suspected_at[current.name] = (
                current.incarnation,
                time.monotonic(),
            )
        if current.state is not (previous.state if previous else None):
            _log.info("Member {} is {}", current.name, current.state.name)

    def _count(self, message: peer_pb2.Gossip) -> None:
        self._messages += 1
        self._message_bytes += message.ByteSize()


def _to_heartbeat(gossip: peer_pb2.Gossip) -> Heartbeat:
    return Heartbeat(
        gossip.config_offset,
        gossip.config_age_ms / 1000,
        gossip.log_reachable,
    )
