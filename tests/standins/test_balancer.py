"""The balancer's view of its backends lags as the platform's does."""

import testtools

from tests.support import polling
from tools import fleet as fleets


class TestBalancer(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())
        self.fleet.start_standin("log", "log")
        self.fleet.start_standin("vm-list", "vm-list")

    def start(self, lag_s):
        names = ("node-1", "node-2")
        for name in names:
            self.fleet.start_node(name, "sapporo-a", node={"drain_s": 60.0})
        ports = [self.fleet.process(name).ports["http"] for name in names]
        options = [f"--backend=127.0.0.1:{port}" for port in ports]
        self.fleet.start_standin(
            "balancer",
            "balancer",
            *options,
            *("--check-period-s", "0.1", "--lag-s", str(lag_s)),
        )
        self.url = self.fleet.url("balancer")
        polling.wait_until(self.is_answered, "a backend is ready")

    def is_answered(self):
        return fleets.call(self.url + "/healthz")

    def test_goes_on_without_a_backend_that_died(self):
        # Guards against a balancer that keeps dead backends for ever.
        self.start(lag_s=0.2)
        self.fleet.process("node-1").kill()

        def is_steady():
            return all(self.is_answered() for _ in range(4))

        polling.wait_until(is_steady, "only the live backend is used")

    def test_still_uses_a_backend_that_is_no_longer_ready(self):
        # Guards against tests of the graceful stop that a prompt balancer
        # would make too easy.
        self.start(lag_s=3600)
        for name in ("node-1", "node-2"):
            self.fleet.process(name).terminate()
            url = self.fleet.url(name, "http") + "/readyz"
            polling.wait_until(
                lambda url=url: self.is_refused(url), "it is not ready"
            )
        self.assertTrue(all(self.is_answered() for _ in range(4)))

    def is_refused(self, url):
        try:
            fleets.call(url)
        except fleets.urllib.error.HTTPError as error:
            with error:
                return error.code == 503
        return False
