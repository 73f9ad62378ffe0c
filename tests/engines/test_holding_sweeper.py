"""Tests of the release of expired holdings and those of dead nodes."""

import asyncio
import time

import testtools

from fireflyspur.clients import engine_client
from fireflyspur.membership import rendezvous
from tests.support import fake_engines


def holding(name, owner, seconds=600.0):
    deadline = time.time() + seconds
    return engine_client.Holding("reservation", name, owner, deadline)


class TestHoldingSweeper(testtools.TestCase):
    def test_releases_only_holdings_that_expired_or_have_dead_owners(self):
        """Guards against freeing memory in use and ending at a failure."""
        client = fake_engines.FakeClient([])
        client.held = {
            f"e{n}": [
                holding("expired", "node-1:7", -5),
                holding("dead", "node-3:5"),
                holding("restarted", "node-3:6"),
                holding("own", "node-1:7"),
            ]
            for n in range(1, 9)
        }
        client.release_failures = 3
        sweeper = fake_engines.make_parts(client, 8).sweeper
        asyncio.run(sweeper.sweep())
        names = ["node-1", "node-2"]
        expected = {
            (engine, name)
            for engine in client.held
            if rendezvous.owner(engine, names) == "node-1"
            for name in ("expired", "dead")
        }
        self.assertEqual(expected, set(client.releases))
        # The client keeps its holdings, so that each sweep releases them.
        asyncio.run(sweeper.sweep())
        self.assertEqual(2 * len(expected), len(client.releases))
