"""Reactions of whole nodes to outages, cuts, pauses and stops."""

import json
import urllib.error
import urllib.request

import testtools

from tests.support import nodes
from tests.support import polling
from tests.support import records
from tools import fleet as fleets

NAMES = ["node-0", "node-1", "node-2"]


class TestNodes(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())
        self.fleet.start_standin("log", "log")
        self.fleet.start_standin("vm-list", "vm-list")
        for name in NAMES:
            nodes.start(self.fleet, name)
        records.publish(self.fleet, records.model(), records.account())
        nodes.wait_converged(self.fleet, NAMES, 2)

    def set_log(self, **faults):
        fleets.call(self.fleet.url("log") + "/faults", "POST", faults)

    def wait(self, condition, what):
        return polling.wait_until(condition, what)

    def is_ready(self, name):
        return nodes.readiness(self.fleet, name)["ready"]

    def offset(self, name):
        return nodes.view(self.fleet, name)["config_offset"]

    def test_start_during_an_outage_takes_a_peers_catalog(self):
        """Guards against a node that cannot start while the log is down."""
        self.set_log(down=True)
        nodes.start(self.fleet, "node-3")
        self.wait(lambda: self.is_ready("node-3"), "the new node is ready")
        self.assertEqual(2, self.offset("node-3"))
        done = nodes.actions(self.fleet, "node-3")
        self.assertIn("fetched", {action for action, _ in done})

    def test_cut_off_node_catches_up_through_a_peer(self):
        """Guards against serving with a configuration others have left."""
        self.set_log(cut_clients=["node-0"])
        # A read that was waiting at the cut still gets its answer.
        self.wait(
            lambda: not nodes.view(self.fleet, "node-0")["log_reachable"],
            "the node sees the cut",
        )
        records.publish(self.fleet, records.model("later"))
        self.wait(lambda: self.offset("node-0") == 3, "it catches up")
        self.assertTrue(self.is_ready("node-0"))
        for name in NAMES[1:]:
            self.fleet.process(name).freeze()
        answer = self.wait(
            lambda: (
                not self.is_ready("node-0")
                and nodes.readiness(self.fleet, "node-0")
            ),
            "the isolated node is not ready",
        )
        self.assertEqual("config_stale", answer["reason"])
        self.assertIn("of 3 members", answer["explanation"])
        self.check_refusal()
        for name in NAMES[1:]:
            self.fleet.process(name).thaw()
        self.wait(lambda: self.is_ready("node-0"), "it recovers")
        done = {a for a, _ in nodes.actions(self.fleet, "node-0")}
        self.assertIn("stopped_admitting", done)
        self.assertIn("resumed_admitting", done)

    def check_refusal(self):
        request = urllib.request.Request(
            self.fleet.url("node-0", "http") + "/v1/models",
            headers={"Authorization": f"Bearer {records.KEY}"},
        )
        error = self.assertRaises(
            urllib.error.HTTPError, urllib.request.urlopen, request
        )
        self.assertEqual(503, error.code)
        self.assertGreater(int(error.headers["Retry-After"]), 0)
        body = json.loads(error.read())["error"]
        self.assertEqual("not_admitting", body["code"])
        self.assertEqual("not_run", body["verdict"])
        self.assertIn("config_stale", body["message"])

    def test_outage_for_all_goes_on(self):
        """Guards against a fleet that stops with the log."""
        self.set_log(down=True)

        def goes_on():
            for name in NAMES:
                seen = nodes.view(self.fleet, name)
                age_s = seen["freshness"]["age_s"]
                if age_s < 2 * nodes.BOUND_S or not self.is_ready(name):
                    return False
            return True

        self.wait(goes_on, "all admit beyond the bound")
        self.set_log()
        self.wait(
            lambda: all(
                nodes.view(self.fleet, n)["freshness"]["age_s"] < nodes.BOUND_S
                for n in NAMES
            ),
            "all are fresh again",
        )

    def test_frozen_node_refutes_its_suspicion(self):
        frozen = self.fleet.process("node-2")
        before = nodes.incarnation_of(self.fleet, "node-0", "node-2")
        frozen.freeze()
        self.wait(
            lambda: nodes.state_of(self.fleet, "node-0", "node-2") != "alive",
            "the frozen node is suspected",
        )
        frozen.thaw()
        self.wait(
            lambda: all(
                nodes.state_of(self.fleet, n, "node-2") == "alive"
                and nodes.incarnation_of(self.fleet, n, "node-2") > before
                for n in NAMES
            ),
            "the suspicion is refuted everywhere",
        )

    def test_restarted_node_takes_precedence(self):
        before = nodes.incarnation_of(self.fleet, "node-0", "node-2")
        self.fleet.process("node-2").kill()
        nodes.start(self.fleet, "node-2")
        self.wait(
            lambda: (
                nodes.incarnation_of(self.fleet, "node-0", "node-2") > before
            ),
            "the new process is known",
        )
        nodes.wait_converged(self.fleet, NAMES, 2)

    def test_stopping_node_is_leaving_and_then_gone(self):
        self.fleet.process("node-2").terminate()
        for name in NAMES[:2]:
            for action in ("leaving", "dead"):
                self.wait(
                    lambda name=name, action=action: (
                        (action, "node-2") in nodes.actions(self.fleet, name)
                    ),
                    f"{name} knows that node-2 is {action}",
                )
        self.assertEqual(0, self.fleet.process("node-2").wait())

    def test_leaving_endpoint_of_the_vm_list_gets_no_work(self):
        self.fleet.start_standin("engine-1", "engine")
        records.publish(self.fleet, records.engine(self.fleet, "engine-1"))
        port = self.fleet.process("engine-1").ports["port"]
        domain = "sapporo-a"
        nodes.list_vm(self.fleet, "engine-1", "engine", port, domain)

        def leaving(name):
            seen = nodes.view(self.fleet, name)["engines"]
            return [e["leaving"] for e in seen]

        def wait_leaving(expected):
            self.wait(
                lambda: all(leaving(n) == [expected] for n in NAMES),
                f"all see the engine with leaving {expected}",
            )

        wait_leaving(False)
        nodes.list_vm(
            self.fleet, "engine-1", "engine", port, domain, "leaving"
        )
        wait_leaving(True)
        faults = self.fleet.url("vm-list") + "/faults"
        fleets.call(faults, "POST", {"down": True})
        self.wait(
            lambda: not nodes.view(self.fleet, "node-0")["vm_list_reachable"],
            "the node sees that the list is down",
        )
        self.assertEqual([True], leaving("node-0"))


class TestSnapshots(testtools.TestCase):
    def test_fresh_node_agrees_after_the_records_have_expired(self):
        """Guards against losers that win once the winner has expired."""
        fleet = self.enterContext(fleets.Fleet())
        fleet.start_standin("log", "log", "--retention-s", "6")
        fleet.start_standin("vm-list", "vm-list")
        fleet.start_standin("engine-1", "engine")
        # The nodes do not know one another, so only the log can help.
        nodes.start(fleet, "node-0", is_listed=False)
        any_role = records.engine(fleet, "engine-1")
        records.publish(
            fleet,
            any_role,
            {
                **records.engine(fleet, "engine-1", role="prefill"),
                "based_on": 1,
            },
            {
                **records.engine(fleet, "engine-1", role="decode"),
                "based_on": 1,
            },
        )

        def first_offset():
            url = fleet.url("log") + "/streams/config/records?from=1"
            return fleets.call(url)["first"]

        polling.wait_until(lambda: first_offset() > 3, "the records expire")
        nodes.start(fleet, "node-1", is_listed=False)
        polling.wait_until(
            lambda: nodes.readiness(fleet, "node-1")["ready"],
            "the fresh node is ready",
        )
        roles = [
            nodes.view(fleet, name)["engines"][0]["role"]
            for name in ("node-0", "node-1")
        ]
        self.assertEqual(["prefill", "prefill"], roles)
        done = {action for action, _ in nodes.actions(fleet, "node-1")}
        self.assertIn("restored", done)
        self.assertNotIn("gap_closed", done)
