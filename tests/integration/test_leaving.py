"""Engines that leave and return, seen by several nodes."""

from tests.support import nodes
from tests.support import polling
from tests.support import prompts
from tests.support import records
from tools import fleet as fleets

NODES = ["node-0", "node-1", "node-2"]
QUICK = ("--time-factor", "20")


class TestLeaving(prompts.PromptTestCase):
    def setUp(self):
        super().setUp()
        for number in (1, 2):
            name = f"engine-{number}"
            self.fleet.start_standin(name, "engine", *QUICK)
            self.engines.append(name)
        for name in NODES:
            self.start_node(name)
        nodes.wait_converged(self.fleet, NODES, 0)
        self.nodes = NODES
        self.publish(records.model(), records.account())
        self.publish_engines(*self.engines)

    def start_node(self, name):
        # Only the first node reads the VM list often enough to see a change;
        # the others depend on the news.
        interval_s = 0.2 if name == NODES[0] else 60
        self.fleet.start_node(
            name, "sapporo-a", vm_list={"poll_interval_s": interval_s}
        )
        port = self.fleet.process(name).ports["peer"]
        nodes.list_vm(self.fleet, name, "node", port, "sapporo-a")

    def list_engine(self, state):
        port = self.fleet.process("engine-1").ports["port"]
        nodes.list_vm(
            self.fleet, "engine-1", "engine", port, "sapporo-a", state
        )

    def order(self, kind):
        fleets.call(
            self.fleet.url("engine-1") + "/engine/v1/orders",
            "POST",
            {"fencing": 0, "order": {"type": kind}},
        )

    def wait_marked(self, expected):
        def is_marked(node):
            return nodes.view(self.fleet, node)["engines"][0]["leaving"]

        for node in NODES:
            polling.wait_until(
                lambda node=node: is_marked(node) is expected,
                f"{node} sees leaving {expected}",
            )

    def ask_everywhere(self, text):
        for node in NODES:
            for number in range(6):
                prompt = f"{text} {node} {number}"
                self.assert_complete(
                    prompt, 5, self.send_prompt(prompt, 5, node)
                )

    def prompts_on(self, engine):
        return len(self.stats(engine)["streams"])

    def wait_work(self):
        before = self.prompts_on("engine-1")
        self.ask_everywhere("after the return")
        self.assertGreater(self.prompts_on("engine-1"), before)

    def test_an_engine_on_the_vm_list_gets_no_work_from_any_node(self):
        """Guards against work that a stopping VM takes along."""
        self.list_engine("live")
        late = self.start_long()
        self.list_engine("leaving")
        self.wait_marked(True)
        for node in NODES[1:]:
            self.assertEqual("news", self.mark(node)["part"])
        before = self.prompts_on("engine-1")
        self.ask_everywhere("while leaving")
        self.assertEqual(before, self.prompts_on("engine-1"))
        self.assert_complete("long", 1200, late.result())

    def mark(self, node):
        """Return the event by which a node began to avoid the engine."""
        url = self.fleet.url(node, "admin") + "/admin/audit"
        events = fleets.call(url)["events"]
        return next(e for e in events if e["action"] == "marked_leaving")

    def start_long(self):
        """Run a long stream on the engine that will leave."""
        self.fleet.process("engine-2").freeze()
        late = self.submit_prompt("long", 1200)
        polling.wait_until(
            lambda: self.holdings("engine-1"), "the stream runs"
        )
        self.fleet.process("engine-2").thaw()
        return late

    def test_an_engine_that_says_so_itself_leaves_and_returns(self):
        """Guards against an engine that stays marked after its return."""
        self.order("leave")
        self.wait_marked(True)
        before = self.prompts_on("engine-1")
        self.ask_everywhere("while leaving")
        self.assertEqual(before, self.prompts_on("engine-1"))
        self.order("return")
        self.wait_marked(False)
        self.assertIn(
            ("returned", "engine-1"), nodes.actions(self.fleet, NODES[0])
        )
        self.wait_work()

    def test_an_engine_that_was_restarted_gets_work(self):
        self.order("leave")
        self.wait_marked(True)
        process = self.fleet.process("engine-1")
        port = process.ports["port"]
        process.kill()
        options = (*QUICK, "--port", str(port))
        self.fleet.start_standin("engine-1", "engine", *options)
        self.wait_marked(False)
        self.wait_work()
