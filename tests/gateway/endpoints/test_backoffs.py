"""Pauses that endpoints ask for, in virtual time."""

import random

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.endpoints import backoffs
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_notices
from fireflyspur.gateway.endpoints import rate_limits
from tests.support import captured_logs
from tests.support import fake_clock

# Requests that may be under way when an endpoint asks for a pause.
_UNDER_WAY_S = 0.5
_SEEDS = range(40)


class BackoffsTest(fake_clock.FakeClockTest):
    """Guards against pauses that last too long, or never end."""

    def setUp(self):
        super().setUp()
        self.endpoint = example_engine.endpoint(1)
        self.backoffs = backoffs.Backoffs()

    def wait_s(self):
        return self.backoffs.wait_s(self.endpoint)

    def test_pause_of_a_year_is_bounded(self):
        self.backoffs.record(self.endpoint, 31_536_000.0)
        self.assertEqual(300.0, self.wait_s())

    def test_response_during_a_pause_does_not_end_it(self):
        self.backoffs.record(self.endpoint, 5.0)
        self.now += 1.0
        self.backoffs.record_response(self.endpoint)
        self.assertEqual(4.0, self.wait_s())

    def test_requests_after_a_pause_come_one_by_one_until_one_is_taken(self):
        self.backoffs.record(self.endpoint, 5.0)
        self.now += 5.0
        self.assertEqual(0.0, self.wait_s())
        self.backoffs.add_start(self.endpoint.instance)
        self.assertEqual(0.5, self.wait_s())
        self.now += 0.1
        self.backoffs.record_response(self.endpoint)
        self.assertEqual(0.0, self.wait_s())

    def test_request_under_way_does_not_shorten_a_pause(self):
        self.backoffs.record(self.endpoint, 5.0)
        self.backoffs.add_start(self.endpoint.instance)
        self.assertEqual(5.0, self.wait_s())

    def test_pause_outlasts_an_entry_that_lapses(self):
        self.backoffs.record(self.endpoint, 5.0)
        self.backoffs.expire(())
        self.assertEqual(5.0, self.wait_s())

    def test_endpoint_that_gets_no_request_after_a_pause_is_forgotten(self):
        self.backoffs.record(self.endpoint, 5.0)
        self.now += 5.0
        self.backoffs.add_start(self.endpoint.instance)
        self.now += 10.0
        self.backoffs.expire(())
        self.assertEqual(0.0, self.wait_s())

    def test_invalid_pause_is_logged_once(self):
        with captured_logs.capture() as records:
            for _ in range(5):
                self.backoffs.record_invalid(self.endpoint)
        self.assertEqual(1, len(records))


class DrawnNoticesTest(fake_clock.FakeClockTest):
    """Guards against requests that an endpoint has said it does not want.

    Endpoints, what they say, and faults are drawn: what the store lists, a
    suspended node, processes that start again under the same name.
    """

    def run_schedule(self, seed):
        rng = random.Random(seed)
        directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        notices = endpoint_notices.EndpointNotices(
            rate_limits.RateLimits.unlimited(), directory.mark_leaving
        )
        listed = {
            e.instance: e for e in map(example_engine.endpoint, range(4))
        }
        # What each process said, by instance and start.
        left, pauses = set(), []
        sent = 0

        def read_store():
            # Some entries lapse, and come back with the next read.
            found = [e for e in listed.values() if rng.random() < 0.9]
            directory.replace(endpoints.EndpointList(tuple(found), self.now))

        read_store()
        for _ in range(400):
            self.now += rng.choice((0.01, 0.05, 0.2))
            match rng.randrange(20):
                case 0 | 1:
                    read_store()
                case 2:
                    # The node is suspended.
                    self.now += rng.uniform(1, 8)
                case 3:
                    endpoint = rng.choice(list(listed.values()))
                    listed[endpoint.instance] = restarted(endpoint, self.now)
                case 4:
                    notices.keep_only(directory.instances)
                case _:
                    sent += self.send(rng, directory, notices, left, pauses)
        return sent

    def send(self, rng, directory, notices, left, pauses):
        """Send a request to an endpoint that allows it, if there is one."""
        allowed = notices.allowed(list(directory.ready("models")))
        if not allowed:
            return 0
        endpoint = rng.choice(allowed)
        process = endpoint.instance, endpoint.born_ms
        self.assertNotIn(process, left)
        for other, heard_s, until_s in pauses:
            if other == process:
                is_free = heard_s + _UNDER_WAY_S < self.now < until_s
                self.assertFalse(is_free)
        notices.add_start(endpoint.instance)
        is_leaving = rng.random() < 0.02
        is_refusal = rng.random() < 0.2
        pause_s = rng.choice((None, 0.0, 0.7, 2.0, 6.0))
        if is_leaving:
            left.add(process)
        if is_refusal and pause_s:
            pauses.append((process, self.now, self.now + pause_s))
        notices.record(
            endpoint,
            messages.EndpointNotice(
                is_leaving=is_leaving, retry_after_s=pause_s
            ),
            is_refusal,
        )
        return 1

    def test_nothing_is_sent_to_endpoints_that_left_or_pause(self):
        sent = [self.run_schedule(seed) for seed in _SEEDS]
        # Endpoints that want requests get some.
        self.assertGreater(min(sent), 10)


def restarted(endpoint, now_s):
    """Return an endpoint after a new start under the same name."""
    return endpoints.Endpoint(
        **{
            **{
                name: getattr(endpoint, name)
                for name in endpoint.__dataclass_fields__
            },
            "born_ms": round(now_s * 1000),
        }
    )
