"""Synchronization of the list of endpoints between nodes."""

import dataclasses
from unittest import mock

import testtools

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_sync
from fireflyspur.gateway.fleet import update_channel
from fireflyspur.generated import peer_updates_pb2 as peer_updates

_OUTAGE_S = 3.6
_REREGISTER_S = 2.5


class EndpointSyncTest(testtools.TestCase):
    """Guards against updates whose cost grows with the number of endpoints.

    This happens when a list that another node only confirms is replaced.
    """

    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        override = clock.override(lambda: self.now_s)
        override.__enter__()
        self.addCleanup(override.__exit__, None, None, None)
        self.directory = endpoint_directory.EndpointDirectory(
            _OUTAGE_S, _REREGISTER_S
        )
        self.sync = endpoint_sync.EndpointSync(self.directory)

    def read(self, count):
        listed = tuple(map(example_engine.endpoint, range(count)))
        return self.sync.update_from_store(
            endpoints.EndpointList(listed, self.now_s)
        )

    def confirm(self, age_ms=0):
        """Handle the update of another node that has the same list."""
        update = self.sync.describe()
        update.age_ms = age_ms
        self.sync.update_from_peer(update)

    def ready(self):
        return self.directory.ready("models")

    def test_confirmed_list_is_not_replaced(self):
        self.read(5)
        previous = self.ready()
        self.now_s += 1.0
        self.confirm(age_ms=200)
        self.assertIs(previous, self.ready())
        self.assertAlmostEqual(0.2, self.directory.age_s())

    def test_older_update_does_not_increase_the_age(self):
        self.read(5)
        self.now_s += 0.1
        self.confirm(age_ms=500)
        self.assertAlmostEqual(0.1, self.directory.age_s())

    def test_list_is_replaced_after_an_outage(self):
        self.read(5)
        self.now_s += 2 * _OUTAGE_S
        # The store has recovered; the entries of three endpoints expired.
        self.read(2)
        self.assertEqual(5, len(self.ready()))
        # They are kept while they may register again. The first update after
        # that removes them.
        self.now_s += _REREGISTER_S - 0.5
        self.confirm()
        self.assertEqual(5, len(self.ready()))
        self.now_s += 1.0
        self.confirm()
        self.assertEqual(2, len(self.ready()))

    def test_peers_learn_that_the_store_was_restored(self):
        # Otherwise they take the entries of the copy for news.
        self.read(5)
        self.now_s += 1.0
        update = self.sync.describe()
        update.age_ms = 0
        update.epoch = 1
        self.sync.update_from_peer(update)
        self.assertEqual(1, self.directory.epoch)
        self.assertEqual(1, self.sync.describe().epoch)

    def test_changes_of_a_peer_are_applied_in_the_epoch_of_its_read(self):
        self.read(5)
        other = endpoint_sync.EndpointSync(
            endpoint_directory.EndpointDirectory(_OUTAGE_S, _REREGISTER_S)
        )
        for count, epoch in ((5, 0), (4, 0), (5, 1)):
            self.now_s += 0.5
            listed = tuple(map(example_engine.endpoint, range(count)))
            self.sync.update_from_peer(
                other.update_from_store(
                    endpoints.EndpointList(listed, self.now_s, epoch)
                )
            )
        self.assertFalse(self.sync.is_behind)
        self.assertEqual(4, len(self.ready()))

    def follow(self, before, after, lost=None):
        """Handle the datagrams that tell of another list.

        :param lost: number of a datagram that does not arrive
        """
        other = endpoint_sync.EndpointSync(
            endpoint_directory.EndpointDirectory(_OUTAGE_S, _REREGISTER_S)
        )
        self.read(before)
        for count in (before, after):
            self.now_s += 0.5
            listed = tuple(map(example_engine.endpoint, range(count)))
            update = other.update_from_store(
                endpoints.EndpointList(listed, self.now_s)
            )
        sent = []
        channel = update_channel.UpdateChannel(
            "node-1", None, mock.Mock(), None
        )
        channel.connection_made(mock.Mock(sendto=lambda d, _: sent.append(d)))
        draft = peer_updates.PeerUpdate(endpoints=update)
        channel._send_to_all(draft, [mock.Mock()])
        for number, data in enumerate(sent):
            self.assertLess(len(data), 1_200)
            if number != lost:
                received = peer_updates.PeerUpdate.FromString(data)
                if received.HasField("endpoints"):
                    self.sync.update_from_peer(received.endpoints)

    def test_changes_that_are_announced_need_no_read_of_the_store(self):
        # Each node reads the store otherwise, as after an outage in which
        # many entries expired.
        for before, after in ((5, 16), (60, 10), (2, 80)):
            self.follow(before, after)
            self.assertFalse(self.sync.is_behind)
            self.assertEqual(after, len(self.ready()))
            self.now_s += 0.5

    def test_lost_part_of_an_update_leads_to_a_read_of_the_store(self):
        self.follow(2, 80, lost=2)
        self.assertTrue(self.sync.is_behind)
        self.assertEqual(2, len(self.ready()))

    def test_more_changes_are_not_announced(self):
        self.follow(5, 300)
        self.assertTrue(self.sync.is_behind)


class ColdEndpointSyncTest(testtools.TestCase):
    """Guards against nodes that do not hear that an endpoint turned cold."""

    def make(self):
        directory = endpoint_directory.EndpointDirectory(
            _OUTAGE_S, _REREGISTER_S
        )
        cold = []
        sync = endpoint_sync.EndpointSync(
            directory,
            lambda endpoint, _: cold.append(
                (endpoint.instance, endpoint.cold_ms)
            ),
        )
        return sync, cold

    def read(self, sync, cold_ms, sequence, count=3):
        listed = tuple(
            dataclasses.replace(
                example_engine.endpoint(number),
                cold_ms=cold_ms * (number == 1),
                sequence=sequence,
            )
            for number in range(count)
        )
        return sync.update_from_store(
            endpoints.EndpointList(listed, clock.now_s())
        )

    def test_known_endpoint_turns_cold(self):
        (sync, cold), (other, other_cold) = self.make(), self.make()
        for link in (sync, other):
            self.read(link, 0, 1)
        digest = sync.describe().digest
        seen = self.read(sync, 2_000, 2)
        # Older builds leave it out of the digest.
        self.assertEqual(digest, seen.digest)
        seen.age_ms = 60_000
        other.update_from_peer(seen)
        self.assertEqual([("engine-1", 2_000)], cold)
        self.assertEqual(cold, other_cold)
        self.assertFalse(other.is_behind)

    def test_old_report_does_not_count_again(self):
        sync, cold = self.make()
        for _ in range(3):
            seen = self.read(sync, 2_000, 2)
        self.assertEqual(1, len(cold))
        self.assertEqual(0, len(seen.changed))

    def test_changes_stay_few(self):
        sync, _ = self.make()
        self.read(sync, 0, 1, count=40)
        listed = tuple(
            dataclasses.replace(
                example_engine.endpoint(number),
                cold_ms=2_000,
                sequence=2,
            )
            for number in range(40)
        )
        seen = sync.update_from_store(
            endpoints.EndpointList(listed, clock.now_s())
        )
        self.assertEqual(8, len(seen.changed))
