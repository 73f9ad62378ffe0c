"""Stand-in of the platform's load balancer, at the level of TCP."""

import asyncio
import dataclasses
import time

from tornado import httpclient
from tornado import iostream
from tornado import netutil
from tornado import tcpclient
from tornado import tcpserver

from fireflyspur.standins import server

_CHUNK_BYTES = 65536


@dataclasses.dataclass(frozen=True)
class BalancerSettings:
    """Backends and how they are checked.

    :param backends: addresses as ``address:port``
    :param check_period_s: seconds between two checks of ``/readyz``
    :param check_timeout_s: seconds after which a check has failed
    :param lag_s: seconds for which a backend that is no longer ready still
        gets connections
    """

    backends: tuple[str, ...]
    check_period_s: float = 1.0
    check_timeout_s: float = 1.0
    lag_s: float = 3.0


class Backend:
    """One backend with its readiness.

    :param name: its address
    """

    def __init__(self, name: str) -> None:
        address, _, port = name.rpartition(":")
        self.address = address
        self.port = int(port)
        self._was_ready = False
        self._failing_since: float | None = None

    def note_ready(self) -> None:
        """Note a check that passed."""
        self._was_ready = True
        self._failing_since = None

    def note_failed(self) -> None:
        """Note a check that failed."""
        if self._failing_since is None:
            self._failing_since = time.monotonic()

    def is_used(self, lag_s: float) -> bool:
        """Whether it gets connections, ready or not.

        :param lag_s: seconds for which failed checks change nothing
        """
        if self._failing_since is None:
            return self._was_ready
        failing_s = time.monotonic() - self._failing_since
        return self._was_ready and failing_s < lag_s


class Balancer(tcpserver.TCPServer):
    """Round robin over the backends that look ready.

    :param settings: the backends and their checks
    """

    def __init__(self, settings: BalancerSettings) -> None:
        super().__init__()
        self._settings = settings
        self._backends = [Backend(name) for name in settings.backends]
        self._next = 0
        self._client = tcpclient.TCPClient()

    async def check(self) -> None:
        """Check all backends, each by itself, for ever."""
        # One that responds late must not make the others look late.
        await asyncio.gather(*map(self._keep_checking, self._backends))

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> None:
        """Connect a caller to a backend; closes it when there is none."""
        backend = self._choose()
        if backend is None:
            stream.close()
            return
        try:
            peer = await self._client.connect(backend.address, backend.port)
        except OSError:
            # A balancer whose view lags connects to backends that are gone.
            stream.close()
            return
        await asyncio.gather(_copy(stream, peer), _copy(peer, stream))

    def _choose(self) -> Backend | None:
        used = [b for b in self._backends if b.is_used(self._settings.lag_s)]
        self._next += 1
        return used[self._next % len(used)] if used else None

    async def _keep_checking(self, backend: Backend) -> None:
        while True:
            await self._check(backend)
            await asyncio.sleep(self._settings.check_period_s)

    async def _check(self, backend: Backend) -> None:
        try:
            response = await httpclient.AsyncHTTPClient().fetch(
                f"http://{backend.address}:{backend.port}/readyz",
                request_timeout=self._settings.check_timeout_s,
                raise_error=False,
            )
        except OSError:
            backend.note_failed()
            return
        if response.code == 200:
            backend.note_ready()
        else:
            backend.note_failed()


async def _copy(source: iostream.IOStream, target: iostream.IOStream) -> None:
    """Copy until either side closes, then close both."""
    try:
        while True:
            data = await source.read_bytes(_CHUNK_BYTES, partial=True)
            await target.write(data)
    except iostream.StreamClosedError:
        target.close()
        source.close()


async def serve(settings: BalancerSettings, address: str, port: int) -> None:
    """Balance until SIGTERM or SIGINT.

    :param port: the port, 0 for a free one
    """
    balancer = Balancer(settings)
    sockets = netutil.bind_sockets(port, address)
    balancer.add_sockets(sockets)
    checks = asyncio.ensure_future(balancer.check())
    await server.wait_for_stop(sockets[0].getsockname()[1])
    checks.cancel()
    balancer.stop()
