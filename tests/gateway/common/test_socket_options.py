"""Options of connections."""

import socket

import testtools
from tornado import iostream

from fireflyspur.gateway.common import socket_options
from tests.support import async_tests

# A sound peer may be silent for a second or so.
_SILENCE_S = 1.5
# Memory that is reserved for a request must be free this long after its end,
# also if its engine was lost; some of it is needed to release the memory.
_FREE_S = 4.0
_RELEASE_S = 0.5


def connected_pair():
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        first = socket.create_connection(server.getsockname())
        return first, server.accept()[0]


class SocketOptionsTest(testtools.TestCase):
    """Guards against giving up sound connections, or lost ones too late."""

    async def probe_times(self):
        """Return the time of the first probe and that of the close.

        :returns: seconds since the peer was last heard
        """
        first, second = connected_pair()
        self.addCleanup(second.close)
        stream = iostream.IOStream(first)
        self.addCleanup(stream.close)
        socket_options.apply(stream)

        def option(name):
            return first.getsockopt(socket.IPPROTO_TCP, name)

        idle_s = option(socket.TCP_KEEPIDLE)
        interval_s = option(socket.TCP_KEEPINTVL)
        count = option(socket.TCP_KEEPCNT)
        user_timeout_s = option(socket.TCP_USER_TIMEOUT) / 1000
        # The user timeout closes at the first probe that is due after it, if
        # one before that is unanswered.
        probes_s = [idle_s + n * interval_s for n in range(1, count + 1)]
        closed_s = next(
            (t for t in probes_s if t >= user_timeout_s), probes_s[-1]
        )
        return idle_s, max(closed_s, user_timeout_s)

    @async_tests.in_loop
    async def test_probes_bear_a_silence_whenever_it_begins(self):
        first_s, closed_s = await self.probe_times()
        self.assertGreater(closed_s - first_s, _SILENCE_S)

    @async_tests.in_loop
    async def test_lost_peer_is_noticed_before_memory_must_be_free(self):
        _, closed_s = await self.probe_times()
        self.assertLessEqual(closed_s, _FREE_S - _RELEASE_S)
