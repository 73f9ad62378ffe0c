"""The weight store limits the fetches that run at one time."""

import threading
import urllib.error

import testtools

from tests.support import polling
from tools import fleet as fleets


class TestWeightStore(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())

    def stats(self):
        return fleets.call(self.fleet.url("store") + "/stats")

    def test_refuses_more_than_its_limit(self):
        # Guards against a fleet of loads that nothing limits.
        self.fleet.start_standin(
            "store", "weight-store", "--max-fetches", "1", "--fetch-s", "3"
        )
        url = self.fleet.url("store") + "/weights/quill/1"
        thread = threading.Thread(target=fleets.call, args=(url,))
        thread.start()
        polling.wait_until(lambda: self.stats()["running"], "a fetch runs")
        error = self.assertRaises(urllib.error.HTTPError, fleets.call, url)
        with error:
            self.assertEqual(429, error.code)
            self.assertEqual("5", error.headers["Retry-After"])
        thread.join()
        self.assertEqual(
            {"fetches": {"quill/1": 1}, "refused": 1, "running": 0, "peak": 1},
            self.stats(),
        )

    def test_an_engine_waits_for_its_turn(self):
        # Guards against an engine that gives up when the store refuses.
        self.fleet.start_standin(
            "store",
            "weight-store",
            *("--max-fetches", "1", "--fetch-s", "1"),
            *("--retry-after-s", "0.2"),
        )
        for name in ("engine-1", "engine-2"):
            self.fleet.start_standin(
                name,
                "engine",
                *("--weight-store-url", self.fleet.url("store")),
                *("--time-factor", "50"),
            )
            fleets.call(
                self.fleet.url(name) + "/engine/v1/orders",
                "POST",
                {
                    "fencing": 1,
                    "order": {"type": "set_models", "models": {"quill": "1"}},
                },
            )
        for name in ("engine-1", "engine-2"):
            url = self.fleet.url(name) + "/engine/v1/state"
            polling.wait_until(
                lambda url=url: fleets.call(url)["models"] == {"quill": "1"},
                "the model is loaded",
            )
        self.assertEqual(1, self.stats()["peak"])
        self.assertEqual(2, self.stats()["fetches"]["quill/1"])
