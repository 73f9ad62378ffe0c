"""Broadcast of urgent updates."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Any
import uuid

from fireflyspur.generated import peer_pb2
from fireflyspur.membership import member
from fireflyspur.membership import member_table
from fireflyspur.membership import peer_client
from fireflyspur.membership import urgent_update as urgent
from fireflyspur.observability import logs

_FANOUT = 3
_PUSH_TIMEOUT_S = 1.0
# Random pushes miss about 5 % of the members (e to the power of -3). Each
# member therefore also pushes to its successor by name after this delay, when
# the random pushes have spread, so that every alive member is reached.
_SUCCESSOR_DELAY_S = 0.3
_MAX_SUCCESSORS = 3
_LIFETIME_MS = 30_000
_MAX_SEEN = 20_000

_log = logs.log_for("news")


class UpdateBus:
    """Pushes updates to three random members and to the next one by name.

    A node forwards each update once, when it first receives it.

    :param table: the members
    :param client: calls the members
    :param random_source: chooses the members
    """

    def __init__(
        self,
        table: member_table.MemberTable,
        client: peer_client.PeerClient,
        random_source: random.Random | None = None,
    ) -> None:
        self._table = table
        self._client = client
        self._random = random_source or random.Random()
        self._seen: dict[str, float] = {}
        self._subscribers: dict[type, list[Callable[[Any], None]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_pushing(self) -> bool:
        """Whether pushes are in progress."""
        return bool(self._tasks)

    def subscribe(
        self, update_type: type, callback: Callable[[Any], None]
    ) -> None:
        """Call a function with each update of a type from another node."""
        self._subscribers.setdefault(update_type, []).append(callback)

    def publish(self, update: urgent.UrgentUpdate) -> None:
        """Broadcast an update of this node."""
        message = urgent.to_message(update, str(uuid.uuid4()), _LIFETIME_MS)
        self._remember(message)
        self._start_push(message)

    def receive(self, message: peer_pb2.News) -> None:
        """Handle an update of another node and forward it the first time."""
        if message.uid in self._seen:
            return
        self._remember(message)
        # An update of a kind that only newer versions know is forwarded too.
        self._start_push(message)
        update = urgent.from_message(message)
        for callback in self._subscribers.get(type(update), []):
            try:
                callback(update)
            except Exception as error:
                _log.opt(exception=error).error(
                    "Cannot handle update: {}", update
                )

    async def flush(self) -> None:
        """Wait until the pushes in progress have finished."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self) -> None:
        """Cancel the pushes in progress."""
        for task in self._tasks:
            task.cancel()
        await self.flush()

    def choose_targets(self) -> list[member.Member]:
        """Return three random members, one in another failure domain."""
        others = self._table.others()
        chosen = self._random.sample(others, min(_FANOUT, len(others)))
        own_domain = self._table.own.failure_domain
        if chosen and all(m.failure_domain == own_domain for m in chosen):
            remote = [m for m in others if m.failure_domain != own_domain]
            if remote:
                chosen[-1] = self._random.choice(remote)
        return chosen

    def _remember(self, message: peer_pb2.News) -> None:
        now = time.monotonic()
        self._seen[message.uid] = now + message.lifetime_ms / 1000
        while self._seen:
            oldest = next(iter(self._seen))
            if self._seen[oldest] > now and len(self._seen) <= _MAX_SEEN:
                break
            del self._seen[oldest]

    def _start_push(self, message: peer_pb2.News) -> None:
        pushes = [self._push(t, message) for t in self.choose_targets()]
        for push in [*pushes, self._push_to_successor(message)]:
            task = asyncio.ensure_future(push)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _push_to_successor(self, message: peer_pb2.News) -> None:
        await asyncio.sleep(_SUCCESSOR_DELAY_S)
        own_name = self._table.own.name
        ring = sorted(self._table.others(), key=lambda m: m.name)
        after = [m for m in ring if m.name > own_name]
        before = [m for m in ring if m.name < own_name]
        for target in [*after, *before][:_MAX_SUCCESSORS]:
            if await self._client.push_update(
                target.target, message, _PUSH_TIMEOUT_S
            ):
                return

    async def _push(
        self, target: member.Member, message: peer_pb2.News
    ) -> None:
        if await self._client.push_update(
            target.target, message, _PUSH_TIMEOUT_S
        ):
            return
        # Replace a member that does not respond by another one.
        others = [m for m in self._table.others() if m.name != target.name]
        if others:
            await self._client.push_update(
                self._random.choice(others).target, message, _PUSH_TIMEOUT_S
            )
