"""The list of endpoints as nodes tell it to one another."""

import testtools

from fireflyspur.experiment import example_engine
from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import endpoint_sync

_OUTAGE_S = 3.6
_REREGISTER_S = 2.5


class EndpointSyncTest(testtools.TestCase):
    """Guards against news that cost more the more endpoints there are."""

    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        reading = clock.override(lambda: self.now_s)
        reading.__enter__()
        self.addCleanup(reading.__exit__, None, None, None)
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
        """Tell that another node has seen the same list."""
        news = self.sync.describe()
        news.age_ms = age_ms
        self.sync.update_from_peer(news)

    def ready(self):
        return self.directory.ready("models")

    def test_confirmed_list_is_not_built_again(self):
        self.read(5)
        before = self.ready()
        self.now_s += 1.0
        self.confirm(age_ms=200)
        self.assertIs(before, self.ready())
        self.assertAlmostEqual(0.2, self.directory.age_s())

    def test_older_word_does_not_make_the_list_older(self):
        self.read(5)
        self.now_s += 0.1
        self.confirm(age_ms=500)
        self.assertAlmostEqual(0.1, self.directory.age_s())

    def test_list_is_taken_again_after_an_outage(self):
        self.read(5)
        self.now_s += 2 * _OUTAGE_S
        # The store is back, and three endpoints have lapsed meanwhile.
        self.read(2)
        self.assertEqual(5, len(self.ready()))
        # A word of the same list within the time to return keeps them, and
        # the first one after it drops those that have not returned.
        self.now_s += _REREGISTER_S - 0.5
        self.confirm()
        self.assertEqual(5, len(self.ready()))
        self.now_s += 1.0
        self.confirm()
        self.assertEqual(2, len(self.ready()))
