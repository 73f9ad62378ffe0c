"""Calls to plain services while the log, a service or a node fails."""

import http.client
import json
import threading
import time
import urllib.error
import urllib.request

import testtools

from fireflyspur.claims import claim_ledger
from fireflyspur.claims import idempotency_key
from tests.support import nodes
from tests.support import polling
from tests.support import records
from tools import fleet as fleets


class Answer:
    """Status, headers and decoded body of a call."""

    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self.body = json.loads(response.read() or b"null")

    @property
    def error(self):
        error = self.body["error"]
        return self.status, error["code"], error["verdict"]


class Caller(threading.Thread):
    """A call in its own thread."""

    def __init__(self, function):
        super().__init__(daemon=True)
        self._function = function
        self.answer = None
        self.start()

    def run(self):
        try:
            self.answer = self._function()
        except OSError as error:
            self.answer = error


class ServicesTestCase(testtools.TestCase):
    """One service, ``till``, behind two nodes."""

    options = ()
    spec = {}

    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())
        self.fleet.start_standin("log", "log")
        self.fleet.start_standin("vm-list", "vm-list")
        self.fleet.start_standin("till-1", "service", *self.options)
        self.publish_till("till-1")
        self.start_node("node-2")

    def start_node(self, name, *pause_at):
        process = self.fleet.start_node(
            name, "sapporo-a", testing={"pause_at": list(pause_at)}
        )
        ready = self.fleet.url(name, "http") + "/readyz"
        polling.wait_until(lambda: fleets.call(ready), f"{name} is ready")
        return process

    def publish_till(self, *names):
        endpoints = [
            {
                "address": "127.0.0.1",
                "port": self.fleet.process(name).ports["port"],
            }
            for name in names
        ]
        records.publish(
            self.fleet,
            records.account(),
            records.make("fleet", "default"),
            records.make("service", "till", endpoints=endpoints, **self.spec),
        )

    def call(self, node="node-2", key=None, method="POST", body=b"5", **more):
        headers = {"Authorization": f"Bearer {records.KEY}"}
        if key:
            headers["Idempotency-Key"] = key
        headers.update({n.replace("_", "-"): v for n, v in more.items()})
        request = urllib.request.Request(
            self.fleet.url(node, "http") + "/services/till/orders?desk=2",
            data=body if method == "POST" else None,
            headers=headers,
            method=method,
        )
        try:
            with urllib.request.urlopen(request, timeout=60) as response:
                return Answer(response)
        except urllib.error.HTTPError as error:
            return Answer(error)

    def faults(self, name, **values):
        fleets.call(self.fleet.url(name) + "/faults", "POST", values)

    def effects(self, name="till-1"):
        return fleets.call(self.fleet.url(name) + "/effects")["effects"]

    def settle(self, key):
        """Resend until the call is decided."""

        def decided():
            answer = self.call(key=key)
            return None if answer.status in (409, 503) else answer

        return polling.wait_until(decided, "the call is decided")


class TestOrdinaryCalls(ServicesTestCase):
    def test_a_second_caller_gets_the_first_answer(self):
        key = idempotency_key.generate()
        first = self.call(key=key)
        second = self.call(key=key.upper())
        self.assertEqual(first.body, second.body)
        self.assertEqual("1", second.headers["Service-Number"])
        self.assertEqual("true", second.headers["Idempotent-Replayed"])
        (effect,) = self.effects()
        self.assertEqual((key, "5"), (effect["key"], effect["body"]))
        self.assertEqual("/orders?desk=2", effect["target"])
        self.assertEqual("1", effect["headers"]["Fencing-Token"])

    def test_headers_of_one_hop_and_the_api_key_stay_here(self):
        # urllib sends its own Connection header, http.client does not.
        port = self.fleet.process("node-2").ports["http"]
        connection = http.client.HTTPConnection("127.0.0.1", port)
        self.addCleanup(connection.close)
        headers = {
            "Authorization": f"Bearer {records.KEY}",
            "Idempotency-Key": idempotency_key.generate(),
            "Connection": "Secret-Hop",
            "Secret-Hop": "x",
        }
        connection.request("POST", "/services/till/orders", "5", headers)
        self.assertEqual(200, connection.getresponse().status)
        names = {name.lower() for name in self.effects()[0]["headers"]}
        self.assertFalse(names & {"secret-hop", "authorization"})

    def test_a_key_that_cannot_be_decided_is_refused(self):
        for key in (
            None,
            "order-7",
            idempotency_key.generate(time.time() - 3601),
            idempotency_key.generate(time.time() + 900),
        ):
            answer = self.call(key=key)
            self.assertEqual((400, "not_run"), answer.error[::2])
        key = idempotency_key.generate()
        self.call(key=key)
        self.assertEqual(
            (422, "idempotency_key_reused", "not_run"),
            self.call(key=key, body=b"6").error,
        )
        self.assertEqual(1, len(self.effects()))

    def test_many_callers_of_one_key_have_one_effect(self):
        self.start_node("node-1")
        key = idempotency_key.generate()
        callers = [
            Caller(lambda n=f"node-{1 + i % 2}": self.call(n, key))
            for i in range(12)
        ]
        for caller in callers:
            caller.join()
        self.assertEqual({200}, {c.answer.status for c in callers})
        self.assertEqual(1, len(self.effects()))

    def test_an_open_call_answers_in_progress(self):
        # The service holds the first call longer than any test runs.
        self.faults("till-1", delay_ms=600_000)
        key = idempotency_key.generate()
        Caller(lambda: self.call(key=key, Request_Timeout="600"))
        url = self.fleet.url("till-1") + "/effects"
        polling.wait_until(
            lambda: fleets.call(url)["received"], "the call is sent"
        )
        second = self.call(key=key)
        self.assertEqual(
            (409, "call_in_progress", "may_have_run"), second.error
        )
        self.assertIn("Retry-After", second.headers)
        received = fleets.call(url)["received"]
        self.assertEqual(1, received)


class TestServiceFails(ServicesTestCase):
    def test_a_lost_answer_is_never_sent_again(self):
        key = idempotency_key.generate()
        for fault in ("lose_answers", "reset_before"):
            self.faults("till-1", **{fault: 1})
            key = idempotency_key.generate()
            self.assertEqual("may_have_run", self.call(key=key).error[2])
            again = self.call(key=key)
            self.assertEqual(
                (502, "outcome_unknown", "may_have_run"), again.error
            )
        self.assertEqual(1, len(self.effects()))

    def test_the_time_limit_passes(self):
        self.faults("till-1", answer_delay_ms=30_000)
        answer = self.call(
            key=idempotency_key.generate(), Request_Timeout="1.5"
        )
        self.assertEqual(
            (504, "deadline_exceeded", "may_have_run"), answer.error
        )

    def test_a_call_that_was_not_sent_frees_its_key(self):
        # A service that is down or leaving has not run the call.
        key = idempotency_key.generate()
        self.faults("till-1", refuse="leaving")
        answer = self.call(key=key)
        self.assertEqual((503, "service_unavailable", "not_run"), answer.error)
        self.assertIn("Retry-After", answer.headers)
        self.faults("till-1")
        self.start_node("node-1")
        self.assertEqual(200, self.call("node-1", key).status)
        self.assertEqual(1, len(self.effects()))

    def test_another_endpoint_is_tried(self):
        self.fleet.start_standin("till-2", "service")
        self.publish_till("till-1", "till-2")
        polling.wait_until(
            lambda: (
                self.call(key=idempotency_key.generate())
                and self.effects("till-2")
            ),
            "the node uses the second endpoint",
        )
        self.fleet.process("till-1").kill()
        for _ in range(4):
            self.assertEqual(
                200, self.call(key=idempotency_key.generate()).status
            )
        self.faults("till-2", reset_before=1)
        self.assertEqual(502, self.call(method="GET").error[0])
        self.assertEqual(200, self.call(method="GET").status)

    def test_a_lost_answer_to_a_get_is_retried_elsewhere(self):
        self.fleet.start_standin("till-2", "service")
        self.publish_till("till-1", "till-2")
        polling.wait_until(
            lambda: self.call(method="GET") and self.effects("till-2"),
            "the node uses the second endpoint",
        )
        self.faults("till-1", reset_before=1000)
        for _ in range(6):
            self.assertEqual(200, self.call(method="GET").status)


class TestRefusal(ServicesTestCase):
    def test_a_refused_call_gets_its_own_error(self):
        # Guards against a refusal that fails on the name in the path and is
        # reported as a fault of the node that may have run the call.
        for method in ("GET", "POST"):
            answer = self.call(method=method, Authorization="Bearer wrong")
            self.assertEqual((401, "not_run"), answer.error[::2], method)
        self.assertNotIn("TypeError", self.fleet.log_text("node-2"))


class TestLeavingEndpoint(ServicesTestCase):
    def test_other_nodes_give_it_no_new_work(self):
        # Guards against a node that keeps sending work to an endpoint that
        # told only another node that it is leaving.
        self.start_node("node-1")
        for name in ("node-1", "node-2"):
            port = self.fleet.process(name).ports["peer"]
            nodes.list_vm(self.fleet, name, "node", port, "sapporo-a")
        polling.wait_until(
            lambda: nodes.state_of(self.fleet, "node-2", "node-1") == "alive",
            "the nodes know each other",
        )
        self.faults("till-1", refuse="leaving")
        self.assertEqual(
            "not_run", self.call(key=idempotency_key.generate()).error[2]
        )
        self.faults("till-1")
        polling.wait_until(
            lambda: self.call("node-1", method="GET").status == 503,
            "the news reaches the other node",
        )


class TestLogFails(ServicesTestCase):
    def test_a_log_that_is_down_or_slow_runs_nothing(self):
        for fault in ({"down": True}, {"delay_ms": 2500}):
            key = idempotency_key.generate()
            self.call(key=idempotency_key.generate())
            count = len(self.effects())
            self.faults("log", **fault)
            answer = self.call(key=key)
            self.faults("log")
            self.assertEqual((503, "log_unavailable", "not_run"), answer.error)
            self.assertIn("Retry-After", answer.headers)
            # The claim may be in the log; its release follows.
            self.assertEqual(200, self.settle(key).status)
            self.assertEqual(count + 1, len(self.effects()))

    def test_a_lost_answer_of_the_log_is_found_by_its_uid(self):
        self.call(key=idempotency_key.generate())
        self.faults("log", lose_answers=1)
        self.assertEqual(200, self.call(key=idempotency_key.generate()).status)
        self.assertEqual(2, len(self.effects()))

    def test_a_claim_that_arrives_after_its_release_is_void(self):
        # Guards against a late append that claims the key for good.
        key = idempotency_key.generate()
        self.call(key=idempotency_key.generate())
        # The pauses before the next appends are 0.2, 0.4 and 0.8 s, so that
        # the claim is given up before an append succeeds.
        self.faults("log", late_appends=3, late_append_ms=3000)
        answer = self.call(key=key)
        self.assertEqual((503, "log_unavailable", "not_run"), answer.error)
        stream = claim_ledger.stream_name(("counter", "till", key), 8)
        url = f"{self.fleet.url('log')}/streams/{stream}/records"

        def late_claim():
            found = fleets.call(url)["records"]
            return [r for r in found if r["value"].get("key") == key]

        polling.wait_until(late_claim, "the late claim is in the log")
        self.assertEqual(200, self.settle(key).status)
        self.assertEqual(2, len(self.effects()))

    def test_an_outcome_is_recorded_when_the_log_is_back(self):
        self.faults("till-1", delay_ms=2000)
        key = idempotency_key.generate()
        first = Caller(lambda: self.call(key=key))
        url = self.fleet.url("till-1") + "/effects"
        polling.wait_until(
            lambda: fleets.call(url)["received"], "the call is sent"
        )
        self.faults("log", down=True)
        first.join()
        self.assertEqual(200, first.answer.status)
        node = self.fleet.process("node-2")
        node.terminate()
        self.faults("log")
        self.assertEqual(0, node.wait())
        self.start_node("node-1")
        again = self.call("node-1", key)
        self.assertEqual("true", again.headers["Idempotent-Replayed"])
        self.assertEqual(1, len(self.effects()))


STEPS = (
    "before_claim",
    "after_claim",
    "before_send",
    "after_answer",
    "after_outcome",
)


class TestNodeFails(ServicesTestCase):
    """A node stops at each step while the caller resends elsewhere."""

    def resend(self, step):
        node = self.start_node("node-1", step)
        key = idempotency_key.generate()
        first = Caller(lambda: self.call("node-1", key))
        polling.wait_until(
            lambda: f"Paused at {step}" in self.fleet.log_text("node-1"),
            "the node is paused",
        )
        return node, key, first, self.call("node-2", key)

    def test_a_killed_node(self):
        for step in STEPS:
            count = len(self.effects())
            node, key, first, second = self.resend(step)
            node.kill()
            first.join()
            third = self.call("node-2", key)
            if step in ("before_claim", "after_outcome"):
                self.assertEqual(200, second.status, step)
            else:
                self.assertEqual("may_have_run", second.error[2], step)
                self.assertEqual(second.error, third.error)
            ran = 0 if step in ("after_claim", "before_send") else 1
            self.assertEqual(count + ran, len(self.effects()), step)

    def test_a_paused_node(self):
        for step in STEPS:
            count = len(self.effects())
            node, key, first, second = self.resend(step)
            node.thaw()
            first.join()
            third = self.call("node-2", key)
            self.assertEqual(200, third.status, step)
            self.assertEqual(count + 1, len(self.effects()), step)
            if second.status != 200:
                self.assertEqual("may_have_run", second.error[2], step)
            node.kill()


class TestTakeover(ServicesTestCase):
    options = ("--fencing", "--replays-results")
    spec = {"fencing": True, "replays_results": True}

    def test_a_paused_holder_is_overtaken_after_its_deadline(self):
        for step in ("before_send", "after_answer"):
            count = len(self.effects())
            node = self.start_node("node-1", step)
            key = idempotency_key.generate()
            first = Caller(
                lambda key=key: self.call("node-1", key, Request_Timeout="3")
            )
            polling.wait_until(
                lambda step=step: (
                    f"Paused at {step}" in self.fleet.log_text("node-1")
                ),
                "the node is paused",
            )
            self.assertEqual(200, self.settle(key).status)
            node.thaw()
            first.join()
            self.assertEqual(count + 1, len(self.effects()), step)
            node.kill()


class TestFencingAlone(ServicesTestCase):
    """Without replay, a taken over call could run a second time."""

    options = ("--fencing",)
    spec = {"fencing": True}

    def test_the_claim_of_a_dead_node_is_not_taken_over(self):
        node = self.start_node("node-1", "after_answer")
        key = idempotency_key.generate()
        deadline = time.time() + 3
        Caller(lambda: self.call("node-1", key, Request_Timeout="3"))
        polling.wait_until(
            lambda: "Paused at" in self.fleet.log_text("node-1"),
            "the node is paused",
        )
        node.kill()
        polling.wait_until(
            lambda: time.time() > deadline + 1, "the time limit has passed"
        )
        self.assertEqual(
            (409, "call_in_progress", "may_have_run"),
            self.call(key=key).error,
        )
        self.assertEqual(1, len(self.effects()))


class TestReplayAlone(TestFencingAlone):
    """Without fencing, a paused holder could run the call a second time."""

    options = ("--replays-results",)
    spec = {"replays_results": True}
