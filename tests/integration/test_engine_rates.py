"""An engine that names a rate, while nodes change."""

import itertools
import threading
import time

from tests.support import nodes
from tests.support import prompts
from tests.support import records

_RATE_PER_S = 2.0
_WINDOW_S = 4.0
_MOST = 1.5 * _RATE_PER_S * _WINDOW_S + 5
_LOAD_PER_S = 20
_NAMES = ["node-0", "node-1", "node-2"]


class TestEngineRates(prompts.PromptTestCase):
    """Guards against nodes that together flood an engine in need."""

    def setUp(self):
        super().setUp()
        self.start([("--time-factor", "50")], nodes=0)
        for name in _NAMES:
            nodes.start(self.fleet, name)
        self.publish(records.engine(self.fleet, "engine-1"))
        nodes.wait_converged(self.fleet, _NAMES, self.published)
        self.samples = []
        self.ended = threading.Event()

    def arrivals(self):
        return len(self.stats("engine-1")["streams"])

    def sample(self):
        while not self.ended.wait(0.05):
            self.samples.append((time.monotonic(), self.arrivals()))

    def offer_load(self, names, seconds):
        """Send prompts to the nodes in turn, also to those that are down."""
        deadline = time.monotonic() + seconds
        answers = []
        for number in itertools.count():
            if time.monotonic() > deadline:
                return answers
            name = names[number % len(names)]
            answers.append(
                self.submit_prompt(f"prompt {number}", 3, name, timeout_s=3)
            )
            time.sleep(1 / _LOAD_PER_S)

    def change_nodes(self, names):
        """Kill, freeze and add nodes under load."""
        time.sleep(1.0)
        self.fleet.process("node-0").kill()
        with prompts.frozen(self.fleet.process("node-1")):
            time.sleep(2.5)
        nodes.start(self.fleet, "node-3")
        self.fleet.wait_ready("node-3")
        names.append("node-3")

    def test_rate_holds_while_nodes_change(self):
        self.set_faults("engine-1", max_requests_per_s=_RATE_PER_S)
        # Each node polls the load of the engine.
        time.sleep(3.0)
        names = list(_NAMES)
        sampler = self.pool.submit(self.sample)
        changes = self.pool.submit(self.change_nodes, names)
        answers = self.offer_load(names, 10.0)
        changes.result()
        self.ended.set()
        sampler.result()
        most = max(
            later_count - count
            for at_s, count in self.samples
            for later_s, later_count in self.samples
            if at_s <= later_s <= at_s + _WINDOW_S
        )
        self.assertLessEqual(most, _MOST)
        self.assertGreater(self.samples[-1][1], 8)
        codes = set()
        for answer in answers:
            try:
                codes.add(answer.result().error.get("code"))
            except OSError:
                # The node was down.
                continue
        self.assertIn("engines_rate_limited", codes)
