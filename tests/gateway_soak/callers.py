"""Callers of a soak, which keep their connections open."""

import asyncio
import itertools

from tests.gateway_soak import record as records
from tests.support import gateway_fleet

ROUTES = ("safe", "unsafe", "chat", "once")
# Longer than the time limit of each route.
_PATIENCE_S = 4.0
_RECONNECT_S = 0.1
_MAX_THINK_S = 0.15
# Share of the requests with a key that was withdrawn.
_WITHDRAWN_SHARE = 0.05
_TOKEN_COUNTS = (1_000, 5_000, 20_000, 60_000)


class Caller:
    """Sends one request after the other, on one connection while it lasts.

    :param number: number of the caller
    :param nodes: the nodes by name
    :param keys: returns the valid API keys, and those withdrawn lately
    :param generator: draws what is sent
    """

    def __init__(self, number, nodes, keys, record, generator, now):
        self._name = f"caller-{number}"
        self._nodes = nodes
        self._keys = keys
        self._record = record
        self._random = generator
        self._now = now
        self._counter = itertools.count()

    async def run(self):
        """Send until cancelled."""
        while True:
            node = self._random.choice(sorted(self._nodes))
            try:
                connection = await self._nodes[node].connect()
            except OSError:
                await asyncio.sleep(_RECONNECT_S)
                continue
            try:
                await self._use(node, *connection)
            finally:
                connection[1].close()

    async def _use(self, node, reader, writer):
        """Send requests on a connection until it ends."""
        while True:
            result = await self._send(node, reader, writer)
            self._record.results.append(result)
            if not result.is_complete or result.has_given_up:
                return
            await asyncio.sleep(self._random.uniform(0, _MAX_THINK_S))

    async def _send(self, node, reader, writer):
        route = self._random.choice(ROUTES)
        valid, withdrawn = self._keys()
        is_withdrawn = withdrawn and self._random.random() < _WITHDRAWN_SHARE
        key = self._random.choice(withdrawn if is_withdrawn else valid)
        attempt_id = f"{route}-{self._name}-{next(self._counter)}"
        tokens = self._random.choice(_TOKEN_COUNTS)
        extra = (
            f"X-Fireflyspur-Token-Count: {tokens},50",
            "X-Fireflyspur-Model: m",
            f"X-Fireflyspur-Prompt-Prefix: 5c1e:40,{next(self._counter):x}:9",
        )
        data = gateway_fleet.request_bytes(
            f"/{route}/",
            attempt_id=attempt_id,
            key=key,
            extra=extra if route in ("chat", "once") else (),
        )
        sent_at_s = self._now()
        outcome = {}
        try:
            async with asyncio.timeout(_PATIENCE_S):
                writer.write(data)
                await writer.drain()
                response = await gateway_fleet.read_response(reader)
        except TimeoutError:
            outcome = {"has_given_up": True}
        except OSError:
            outcome = {}
        else:
            outcome = {
                "status": response.status,
                "body": response.body,
                "seal": response.headers.get(
                    "x-fireflyspur-response-seal", ""
                ).removeprefix("seal-"),
                "retry_after": response.headers.get("retry-after"),
                "is_complete": response.is_complete,
            }
        return records.Result(
            attempt_id,
            route,
            node,
            key,
            sent_at_s,
            self._now(),
            **outcome,
        )
