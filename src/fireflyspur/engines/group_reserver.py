"""All-or-nothing reservation of memory on several engines."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random
import time
from typing import Any
import uuid

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions as client_exceptions
from fireflyspur.engines import exceptions
from fireflyspur.engines import releaser as releasers

_MIN_DELAY_S = 0.02
_MAX_DELAY_S = 0.4
# The retry interval decreases to the minimum over this time, so that later
# groups do not repeatedly overtake a waiting one.
_BACKOFF_PERIOD_S = 10.0
# Engines allocate memory in blocks and round up.
_ROUNDING_TOKENS = 1024


@dataclasses.dataclass(frozen=True)
class Member:
    """An engine that may become a member of a group."""

    address: engine_client.EngineAddress
    memory_tokens: int


@dataclasses.dataclass(frozen=True)
class Group:
    """Memory reserved on several engines.

    :param lead: the engine that runs the stream
    :param reservation: id of the reservation on the lead engine
    :param others: id, address and port of the other reservations
    """

    lead: engine_client.EngineAddress
    reservation: str
    others: list[dict[str, Any]]


class GroupReserver:
    """Reserves memory on engines in order of name, without waiting.

    If one engine refuses, all reservations are released, and the group is
    retried after a random delay, so that competing groups cannot deadlock.

    :param client: client of the engines
    :param releaser: releases the reservations
    :param owner: name and incarnation of this node
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        releaser: releasers.Releaser,
        owner: str,
    ) -> None:
        self._client = client
        self._releaser = releaser
        self._owner = owner

    @contextlib.asynccontextmanager
    async def reserve(
        self,
        tokens: int,
        members: Callable[[], list[Member]],
        deadline: float,
    ) -> AsyncIterator[Group]:
        """Reserve memory on a group of engines while the context is open.

        :param tokens: total memory needed
        :param members: returns the engines to choose from
        :param deadline: monotonic time in seconds at which the request fails
        :raises EnginesBusyError: if the available engines are too small
            together, or the memory was not free in time
        """
        started = time.monotonic()
        wall_deadline = time.time() + deadline - started
        reserved: list[
            tuple[engine_client.EngineAddress, engine_client.Holding]
        ]
        while True:
            shares = _split_tokens(tokens, members())
            reserved = []
            try:
                if await self._reserve_all(shares, wall_deadline, reserved):
                    yield _group(reserved)
                    return
            finally:
                # The stream has taken over the lead's reservation, so its
                # release has no effect.
                releases = [
                    self._releaser.release(*entry) for entry in reserved
                ]
            if releases:
                await asyncio.wait(releases, timeout=_MAX_DELAY_S)
            delay_s = _delay_s(time.monotonic() - started)
            if time.monotonic() + delay_s >= deadline:
                raise exceptions.EnginesBusyError(
                    f"no engines had {tokens} tokens of memory free in time",
                    retry_after_s=_BACKOFF_PERIOD_S,
                )
            await asyncio.sleep(delay_s)

    async def _reserve_all(
        self,
        shares: list[tuple[Member, int]],
        deadline: float,
        reserved: list[
            tuple[engine_client.EngineAddress, engine_client.Holding]
        ],
    ) -> bool:
        for member, share in shares:
            holding = engine_client.Holding(
                "reservation",
                f"reservation-{uuid.uuid4()}",
                self._owner,
                deadline,
                tokens=share,
            )
            # If the response is lost, the memory may be reserved, so the
            # holding counts as reserved before the call.
            reserved.append((member.address, holding))
            try:
                await self._client.reserve(member.address, holding)
            except client_exceptions.EngineRefusedError:
                reserved.pop()
                return False
            except client_exceptions.EngineUnavailableError:
                return False
        return True


def _split_tokens(
    tokens: int, members: list[Member]
) -> list[tuple[Member, int]]:
    """Choose engines and divide the tokens between them, in order of name."""
    chosen: list[Member] = []
    available = 0
    # Engines of the same size are chosen at random, so that groups that start
    # at the same time do not compete for the same ones.
    shuffled = random.sample(members, len(members))
    for member in sorted(shuffled, key=lambda m: -m.memory_tokens):
        if available >= tokens + _ROUNDING_TOKENS * len(chosen):
            break
        chosen.append(member)
        available += member.memory_tokens
    needed = tokens + _ROUNDING_TOKENS * len(chosen)
    if available < needed:
        raise exceptions.EnginesBusyError(
            f"the prompt needs {tokens} tokens of memory, and the engines"
            f" that accept requests now have {available}",
            retry_after_s=_BACKOFF_PERIOD_S,
        )
    return [
        (m, min(m.memory_tokens, -(-needed * m.memory_tokens // available)))
        for m in sorted(chosen, key=lambda m: m.address.name)
    ]


def _group(
    reserved: list[tuple[engine_client.EngineAddress, engine_client.Holding]],
) -> Group:
    (lead, lead_holding), *others = reserved
    return Group(
        lead,
        lead_holding.id,
        [
            {"id": h.id, "address": e.address, "port": e.port}
            for e, h in others
        ],
    )


def _delay_s(waited_s: float) -> float:
    remaining_ratio = max(0.0, 1 - waited_s / _BACKOFF_PERIOD_S)
    return random.uniform(
        _MIN_DELAY_S, _MIN_DELAY_S + _MAX_DELAY_S * remaining_ratio
    )
