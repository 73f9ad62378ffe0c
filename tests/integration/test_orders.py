"""Orders to engines by whole nodes, through failures."""

from concurrent import futures
import threading

from tests.support import nodes
from tests.support import orders
from tests.support import prompts
from tests.support import records


class TestOrders(orders.OrdersTestCase):
    def start(self, count, *options, node_count=2, store=(), **spec):
        self.start_store(*store)
        for number in range(count):
            self.start_engine(f"engine-{number}", *options)
        self.start_nodes(node_count)
        self.publish_engines(**spec)

    def test_changes_of_version_adapter_and_role_reach_all_engines(self):
        self.start(3, "--model", "quill=1", loads=3)
        records.publish(
            self.fleet,
            records.make("adapter", "polite", model="quill", version="7"),
        )
        self.publish_engines("2", 3, adapters=["polite"], role="decode")

        def follows(engine):
            seen = self.state(engine)
            held = seen["models"], seen["adapters"], seen["role"]
            return held == ({"quill": "2"}, {"polite": "7"}, "decode")

        for engine in self.engines:
            self.wait(lambda e=engine: follows(e), f"{engine} follows")
        self.wait_slots_free()

    def test_the_store_is_never_asked_for_more_than_the_limit(self):
        """Guards against loads that together exceed the store's rate."""
        self.start(5, *orders.OTHER_MODEL, store=(0.5,), loads=2)
        self.wait_loaded("1")
        self.assertLessEqual(self.store_stats()["peak"], 2)
        self.wait_slots_free()

    def test_loads_go_on_after_an_outage_of_the_store(self):
        """Guards against a rollout that takes all engines into the outage."""
        self.start(4, "--model", "quill=1")
        self.set_faults("store", down=True)
        self.publish_version("2")
        self.wait(
            lambda: any(self.state(e)["loading"] for e in self.engines),
            "a load waits for the store",
        )
        # All engines have asked by now, and three of four keep the model.
        self.wait(
            lambda: len(self.engines_with_intents()) == 4,
            "all engines want to load",
        )
        held = [e for e in self.engines if self.state(e)["models"]]
        self.assertEqual(3, len(held))
        self.set_faults("store")
        self.wait_loaded("2")
        self.wait_slots_free()

    def test_a_slow_store_that_refuses_delays_and_loses_nothing(self):
        self.start(3, *orders.OTHER_MODEL, store=(1.0, 1), loads=2)
        self.wait_loaded("1")
        self.assertLessEqual(self.store_stats()["peak"], 1)
        self.wait_slots_free()

    def test_the_limit_holds_when_an_orderer_dies_during_a_load(self):
        """Guards against a slot that is freed while its load goes on."""
        self.start(2, *orders.OTHER_MODEL, node_count=3, store=(4.0,), loads=1)
        loading = self.wait_loading()
        owner = self.owner(loading)
        self.fleet.process(owner).kill()
        self.wait_loaded("1")
        self.assertEqual(1, self.store_stats()["peak"])
        self.wait_slots_free()

    def test_a_planned_stop_of_the_orderer_keeps_the_slot_of_the_load(self):
        """Guards against a second load beside the one that goes on."""
        self.start(2, *orders.OTHER_MODEL, node_count=3, store=(4.0,), loads=1)
        loading = self.wait_loading()
        self.fleet.process(self.owner(loading)).terminate()
        self.wait_loaded("1")
        self.assertEqual(1, self.store_stats()["peak"])
        self.wait_slots_free()

    def test_the_last_decision_wins_when_minds_change_during_a_load(self):
        """Guards against a load that cannot end and is never replaced."""
        self.start(2, "--model", "quill=1")
        self.set_faults("store", down=True)
        for version in ("2", "3", "4"):
            self.publish_version(version)
            target = {"models": {"quill": version}, "adapters": {}}
            self.wait(
                lambda target=target: any(
                    self.state(e)["loading"] == target for e in self.engines
                ),
                f"version {version} loads",
            )
        self.set_faults("store")
        self.wait_loaded("4")
        self.wait_slots_free()

    def test_engines_get_orders_again_after_an_outage_of_the_log(self):
        self.start(2, "--model", "quill=1")
        self.wait(
            lambda: all(
                nodes.view(self.fleet, n)["config_offset"] == 5
                for n in self.nodes
            ),
            "the nodes follow the log",
        )
        self.set_faults("log", down=True)
        port = self.fleet.process("engine-0").ports["port"]
        self.fleet.process("engine-0").kill()
        self.start_engine("engine-0", *orders.OTHER_MODEL, port=port)
        self.wait(
            lambda: (
                not any(
                    nodes.view(self.fleet, n)["log_reachable"]
                    for n in self.nodes
                )
            ),
            "the nodes see the outage",
        )
        self.assertIsNone(self.state("engine-0")["loading"])
        self.set_faults("log")
        self.wait_loaded("1")
        self.wait_slots_free()

    def test_an_engine_that_restarts_empty_is_loaded_again(self):
        self.start(2, "--model", "quill=1")
        port = self.fleet.process("engine-0").ports["port"]
        self.fleet.process("engine-0").kill()
        self.start_engine("engine-0", *orders.OTHER_MODEL, port=port)
        self.wait_loaded("1")
        self.wait_slots_free()

    def test_lost_answers_leave_no_slot_and_no_second_intent(self):
        """Guards against a record that is written again as another one."""
        self.start(1, "--model", "quill=1", node_count=1)
        self.set_faults("log", lose_answers=1)
        self.publish_losing("2")
        self.wait_loaded("2")
        self.set_faults("log", lose_answers=1)
        self.wait_slots_free()
        kinds = {
            (i["value"]["type"], i["value"]["uid"])
            for i in self.order_records()
        }
        self.assertEqual(
            ["lease", "load_end", "load_intent"],
            sorted(kind for kind, _ in kinds),
        )

    def publish_losing(self, version):
        # The lost answer is that of the operator's tool; the next one is that
        # of the orderer.
        try:
            self.publish_version(version)
        except OSError:
            self.set_faults("log", lose_answers=1)


class TestRollout(orders.OrdersTestCase):
    open, send_prompt = (
        prompts.PromptTestCase.open,
        prompts.PromptTestCase.send_prompt,
    )

    def test_requests_are_served_while_a_version_rolls_out(self):
        """Guards against a model whose engines all load at one time."""
        self.start_store(1.0)
        for number in range(2):
            # Reports that are 0.5 to 1 s old.
            options = ("--model", "quill=1", "--load-lag-s", "10")
            self.start_engine(f"engine-{number}", *options)
        self.start_nodes(2)
        self.publish_engines()
        for node in self.nodes:
            self.wait(
                lambda node=node: (
                    self.send_prompt("first", 5, node).is_complete
                ),
                f"{node} serves",
            )
        is_done = threading.Event()

        def ask_on(number):
            node, answers = self.nodes[number % 2], []
            while not is_done.is_set():
                answers.append(self.send_prompt(f"prompt {number}", 300, node))
            return answers

        with futures.ThreadPoolExecutor(6) as pool:
            asked = [pool.submit(ask_on, number) for number in range(6)]
            try:
                self.publish_version("2")
                self.wait_loaded("2")
                self.wait_slots_free()
            finally:
                is_done.set()
            for number, answers in enumerate(asked):
                right = prompts.expected(f"prompt {number}", 300)
                for answer in answers.result():
                    self.assertEqual({}, answer.error)
                    self.assertEqual(right, answer.text)


class TestPausedOrderer(orders.OrdersTestCase):
    def start(self, *options):
        """Pause the orderer right before it sends the role ``decode``."""
        self.start_store()
        self.start_engine("engine-0", "--model", "quill=1", *options)
        self.start_nodes(3, engine_0=["before_order"])
        self.publish_engines(role="decode")
        first = self.owner("engine-0")
        rest = [n for n in self.nodes if n != first]
        self.wait(
            lambda: all(
                nodes.state_of(self.fleet, n, first) in ("suspect", "dead")
                for n in rest
            ),
            "the paused node is suspected",
        )
        self.publish_engines(role="prefill")
        self.wait(
            lambda: self.state("engine-0")["role"] == "prefill",
            "the successor's order is obeyed",
        )
        return first

    def test_an_engine_that_checks_numbers_refuses_the_paused_orderer(self):
        """Guards against an order that was decided before a pause."""
        first = self.start("--checks-fencing")
        self.fleet.process(first).thaw()
        self.wait(lambda: self.refusal_reasons(first), "the order is refused")
        self.assertIn("stale_fencing", self.refusal_reasons(first)[0])
        self.assertEqual("prefill", self.state("engine-0")["role"])

    def test_an_engine_that_ignores_numbers_is_corrected(self):
        """Guards against a stale order that stays in effect."""
        first = self.start()
        self.fleet.process(first).thaw()

        def ordered():
            done = nodes.actions(self.fleet, first)
            return ("ordered", "engine/engine-0") in done

        self.wait(ordered, "the paused node sends its order")
        self.assertEqual([], self.refusal_reasons(first))
        self.wait(
            lambda: self.state("engine-0")["role"] == "prefill",
            "the engine is corrected",
        )
