"""An entry node."""

import asyncio
import contextlib
import dataclasses
import signal

from tornado import httpserver

from fireflyspur.generated import settings
from fireflyspur.node import http_server
from fireflyspur.node import node_builder
from fireflyspur.observability import logs

_log = logs.log_for("node")


@dataclasses.dataclass(frozen=True)
class Ports:
    """Holds the ports on which the node listens."""

    http: int
    admin: int
    peer: int


class Node:
    """Starts the parts of a node and stops them gracefully.

    :param config: the node's settings
    """

    def __init__(self, config: settings.NodeSettings) -> None:
        self._config = config
        self._stack = contextlib.AsyncExitStack()
        self._stop_requested = asyncio.Event()

    async def start(self) -> Ports:
        """Start all parts.

        :returns: the ports on which the node listens
        """
        node = node_builder.NodeBuilder(self._config, self._stack).build()
        self._context = node
        self._start_task(node.follower.run())
        peer_port = await node.membership.start(self._stack)
        for coroutine in (
            node.quarantine.run(),
            node.sweeper.run(),
            node.load_poller.run(),
            node.limits.reporter.run(),
            node.orders.run(),
        ):
            self._start_task(coroutine)
        address = self._config.node.address
        http, http_port = http_server.listen(
            http_server.caller_application(node),
            address,
            self._config.node.http_port,
        )
        admin, admin_port = http_server.listen(
            http_server.admin_application(node),
            address,
            self._config.node.admin_port,
        )
        self._stack.push_async_callback(_close_server, admin)
        self._stack.push_async_callback(_close_server, http)
        _log.info("Listening on {} port {}", address, http_port)
        return Ports(http_port, admin_port, peer_port)

    async def run_until_stopped(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        await self._stop_requested.wait()
        await self.stop()

    async def stop(self) -> None:
        """Stop gracefully, after all requests in progress have ended."""
        self._context.drain.begin_stop()
        self._context.membership.announce_leaving()
        await self._context.drain.drain()
        await self._context.ledger.close()
        await self._context.membership.announce_stopped()
        await self._stack.aclose()
        _log.info("Stopped")

    def _start_task(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.ensure_future(coroutine)
        self._stack.push_async_callback(_cancel_task, task)


async def _cancel_task(task: "asyncio.Future[None]") -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _close_server(server: httpserver.HTTPServer) -> None:
    server.stop()
    await server.close_all_connections()
