"""Checks of the soak of gateway nodes."""

import testtools

from tests.gateway_soak import checks
from tests.gateway_soak import record as records


def arrival(attempt_id="safe-1", at_s=10.0, endpoint="desk-1", has_run=True):
    return records.Arrival(attempt_id, endpoint, at_s, has_run)


def result(attempt_id="safe-1", sent_at_s=10.0, **changes):
    route = attempt_id.partition("-")[0]
    values = {
        "key": "key-0",
        "ended_at_s": sent_at_s + 0.1,
        "status": 200,
        "body": f"answer to {attempt_id}".encode(),
        "seal": "desk-1",
        "is_complete": True,
        **changes,
    }
    return records.Result(
        attempt_id, route, "node-1", sent_at_s=sent_at_s, **values
    )


def events(attempt_id, numbers):
    return b"".join(
        f"id: {n}\ndata: {attempt_id}\n\n".encode() for n in numbers
    )


class GatewayChecksTest(testtools.TestCase):
    """Guards against a soak that passes over broken promises."""

    def violations(self, *seen, **changes):
        record = records.Record(**changes)
        for item in seen:
            listed = {
                records.Arrival: record.arrivals,
                records.Result: record.results,
                records.Disruption: record.disruptions,
            }
            listed[type(item)].append(item)
        return checks.find_violations(record)

    def assert_broken(self, text, *seen, **changes):
        violations = self.violations(*seen, **changes)
        self.assertEqual(1, len(violations), violations)
        self.assertIn(text, violations[0])

    def test_whole_answer_breaks_nothing(self):
        self.assertEqual([], self.violations(arrival(), result()))
        stream = result("chat-1", body=events("chat-1", range(1, 6)))
        self.assertEqual([], self.violations(arrival("chat-1"), stream))

    def test_answer_of_another_request(self):
        wrong = result(body=b"answer to safe-2")
        self.assert_broken("wrong answer", arrival(), wrong)

    def test_short_stream_that_looks_complete(self):
        for numbers in ((1, 2, 3, 4), (1, 2, 2, 3, 4, 5), (1, 2, 4, 5)):
            stream = result("chat-1", body=events("chat-1", numbers))
            self.assert_broken("wrong answer", arrival("chat-1"), stream)

    def test_success_without_a_run(self):
        self.assert_broken("no run", arrival(has_run=False), result())

    def test_unsafe_request_that_ran_twice(self):
        self.assert_broken(
            "ran 2 times", arrival("unsafe-1"), arrival("unsafe-1")
        )
        repeated = arrival("safe-1"), arrival("safe-1")
        self.assertEqual([], self.violations(*repeated))

    def test_refusal_of_a_request_that_ran(self):
        refused = result("unsafe-1", status=503, seal="", retry_after="1")
        self.assert_broken("but it ran", arrival("unsafe-1"), refused)

    def test_refusal_without_a_time_to_return(self):
        refused = result(status=503, seal="")
        self.assert_broken("without a time", refused)

    def test_connection_closed_without_an_answer(self):
        lost = result(status=0, is_complete=False)
        self.assert_broken("without an answer", arrival(), lost)
        killed = records.Disruption("node-1", "kill", 10.05, 10.5)
        self.assertEqual([], self.violations(arrival(), lost, killed))
        stopped = records.Disruption("node-1", "stop", 10.05, 10.5)
        self.assert_broken("without an answer", arrival(), lost, stopped)

    def test_times_of_callers_that_were_held_up_do_not_count(self):
        held = [
            result(f"safe-{n}", ended_at_s=13.0, status=504, seal="")
            for n in range(8)
        ]
        self.assertEqual([], self.violations(*held, stalls=[(11.0, 12.0)]))
        slow = result(status=0, is_complete=False, ended_at_s=10.3)
        self.assert_broken("without an answer", slow)
        self.assertEqual([], self.violations(slow, stalls=[(9.5, 10.2)]))
        # It was passed on, whatever the time.
        self.assert_broken(
            "without an answer", arrival(), slow, stalls=[(9.5, 10.2)]
        )

    def test_request_that_a_suspended_node_did_not_read(self):
        slow = result(status=0, is_complete=False, ended_at_s=11.3)
        frozen = records.Disruption("node-1", "freeze", 9.0, 11.2)
        self.assertEqual([], self.violations(slow, frozen))
        self.assert_broken("without an answer", arrival(), slow, frozen)

    def test_withdrawn_key_that_is_accepted(self):
        withdrawn = {"key-0": 7.0}
        self.assert_broken(
            "withdrawn", arrival(), result(), withdrawn=withdrawn
        )
        store_down = records.Disruption("store", "reset", 8.0, 9.0)
        self.assertEqual(
            [],
            self.violations(
                arrival(), result(), store_down, withdrawn=withdrawn
            ),
        )

    def test_request_to_an_endpoint_that_left(self):
        drained = {"desk-1": 7.0}
        self.assert_broken("a leave", arrival(), result(), drained=drained)

    def test_answers_held_beyond_the_time_limit(self):
        held = [
            result(f"safe-{n}", ended_at_s=13.0, status=504, seal="")
            for n in range(8)
        ]
        self.assert_broken("held beyond", *held)

    def test_endpoint_that_gets_more_than_its_rate(self):
        flood = [
            arrival(f"safe-{n}", 20.0 + n / 10, "desk-2") for n in range(18)
        ]
        limits = {"desk-2": (2.0, 10.0)}
        self.assert_broken("got 18 in 4 s", *flood, limits=limits)
        self.assertEqual([], self.violations(*flood[:17], limits=limits))

    def test_exit_code_of_a_stop(self):
        self.assert_broken("code 1", exits=[("node-1", 1), ("node-2", 0)])
