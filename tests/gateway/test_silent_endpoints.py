"""Sound endpoints that are silent for a second."""

import asyncio
import itertools
import random

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_COUNT = 20
_PAUSE_S = 0.05
# Longer than twice what the model explains; callers wait for two seconds.
_SILENT_S = 1.2
_NOT_RUN = "X-Fireflyspur-Not-Executed: full"


def _config(slots, max_attempts=2, version=1, kind="streaming"):
    route = gateway_fleet.route(
        "chat",
        kind,
        "models",
        stream_resume=True,
        gap_aim_ms=200,
        timeout_ms=8_000,
        max_attempts=max_attempts,
    )
    engine = {**gateway_fleet.ENGINE, "slots": slots}
    service = {"name": "models", "health_check": "/health", "engine": engine}
    return gateway_fleet.config(version, [route], services=[service])


def _silent_at(number, silent_s=_SILENT_S):
    """Return a behaviour that is silent before an event."""

    async def behaviour(worker, arrival, stream):
        begin = int(arrival.headers.get("last-event-id") or 0) + 1
        await stream.write(
            fake_endpoint.response_head(
                arrival, worker, "Transfer-Encoding: chunked"
            )
        )
        for event in range(begin, _COUNT + 1):
            await asyncio.sleep(silent_s if event == number else _PAUSE_S)
            await stream.write(fake_endpoint.chunk(fake_endpoint.event(event)))
        await stream.write(b"0\r\n\r\n")

    return behaviour


def _whole():
    return b"".join(fake_endpoint.event(n) for n in range(1, _COUNT + 1))


class _Fleet:
    """A node and two engines, of which the first to be asked is silent."""

    def __init__(self, slots=8, max_attempts=2, engines=2, **settings):
        self._config = _config(slots, max_attempts)
        self._settings = settings
        self.fleet = gateway_fleet.GatewayFleet(engines=engines)

    async def __aenter__(self):
        await self.fleet.__aenter__()
        self.fleet.publish(self._config)
        self.node = await self.fleet.start_node(**self._settings)
        return self

    async def __aexit__(self, *error):
        await self.fleet.__aexit__(*error)

    @property
    def arrivals(self):
        """What has reached any engine, in order."""
        return sorted(self.fleet.arrivals, key=lambda a: a.number)

    def answer(self, first, other):
        """Set the behaviour of the first engine to be asked, and the other."""
        asked = []

        async def behaviour(worker, arrival, stream):
            if not asked:
                asked.append(worker)
            chosen = first if worker is asked[0] else other
            await chosen(worker, arrival, stream)

        for engine in self.fleet.engines:
            engine.default_behaviour = behaviour

    async def request(self, number=0):
        return await self.node.request(
            "/chat/", attempt_id=f"a{number}", deadline_ms=8_000
        )


class SilentEndpointTest(testtools.TestCase):
    """Guards against answers that end because their endpoint is silent."""

    # Streams of a sound engine were cut after 0.9 s of silence though no
    # other engine had a free slot.
    @async_tests.in_loop
    async def test_stream_goes_on_if_no_engine_has_room(self):
        async with _Fleet(slots=2) as started:
            for engine in started.fleet.engines:
                engine.default_behaviour = _silent_at(5)
            responses = await asyncio.gather(
                *(started.request(n) for n in range(4))
            )
            arrivals = len(started.fleet.arrivals)
        self.assertEqual([_whole()] * 4, [r.body for r in responses])
        self.assertEqual(4, arrivals)

    # Several streams of one engine took the same last slot.
    @async_tests.in_loop
    async def test_streams_go_on_if_only_one_has_room_elsewhere(self):
        async with _Fleet(slots=3) as started:
            silent, other = started.fleet.engines
            silent.default_behaviour = _silent_at(5)
            other.default_behaviour = _silent_at(0)
            responses = await asyncio.gather(
                *(started.request(n) for n in range(5))
            )
        self.assertEqual([_whole()] * 5, [r.body for r in responses])

    # The other engine was full, as other nodes had taken the last slot.
    @async_tests.in_loop
    async def test_stream_goes_on_if_the_other_engine_refuses(self):
        refuse = fake_endpoint.respond_status(
            "503 Service Unavailable", _NOT_RUN
        )
        async with _Fleet() as started:
            started.answer(_silent_at(5), refuse)
            response = await started.request()
            self.assertEqual(2, len(started.fleet.arrivals))
        self.assertEqual(_whole(), response.body)

    @async_tests.in_loop
    async def test_stream_goes_on_if_the_other_engine_fails(self):
        failures = (
            fake_endpoint.crash,
            fake_endpoint.crash_process,
            fake_endpoint.never_respond,
            fake_endpoint.respond_status("500 Internal Server Error"),
            fake_endpoint.respond_raw(b"no answer\r\n\r\n"),
        )

        async def play(silent_event, failure):
            async with _Fleet() as started:
                started.answer(_silent_at(silent_event), failure)
                return await started.request()

        cases = list(itertools.product((1, 5), failures))
        responses = await asyncio.gather(*(play(*case) for case in cases))
        for case, response in zip(cases, responses, strict=True):
            self.assertEqual(
                (200, _whole()), (response.status, response.body), case
            )

    @async_tests.in_loop
    async def test_stream_goes_on_if_no_retry_is_left(self):
        retries = gateway_fleet.retry_budget.RetryLimits(0.0, 0, 10.0)
        async with _Fleet(retries=retries) as started:
            started.answer(_silent_at(5), _silent_at(0))
            response = await started.request()
            self.assertEqual(1, len(started.fleet.arrivals))
        self.assertEqual(_whole(), response.body)

    @async_tests.in_loop
    async def test_stream_is_resumed_while_its_engine_is_silent(self):
        async with _Fleet() as started:
            started.answer(_silent_at(5, 60.0), _silent_at(0))
            response = await started.request()
            second = started.arrivals[1]
            await gateway_fleet.wait_until(
                lambda: any(e.cancelled for e in started.fleet.engines)
            )
        self.assertEqual(_whole(), response.body)
        self.assertEqual("4", second.headers["last-event-id"])

    # The end of the silent attempt ended the one that had just responded.
    @async_tests.in_loop
    async def test_answer_that_cannot_be_continued_replaces_a_silent_one(self):
        # Longer than what is kept until an answer is complete.
        parts = (b"data: one\n\n" + b"x" * 300_000, b"data: two\n\n")

        async def other(worker, arrival, stream):
            length = f"Content-Length: {sum(map(len, parts))}"
            head = fake_endpoint.response_head(arrival, worker, length)
            await stream.write(head + parts[0])
            await asyncio.sleep(0.1)
            await stream.write(parts[1])

        for kind in ("safe", "streaming"):
            async with _Fleet() as started:
                started.fleet.publish(_config(8, version=2, kind=kind))
                await gateway_fleet.wait_until(
                    lambda: started.node.gateway.config_version == 2
                )
                started.answer(_silent_at(1, 60.0), other)
                response = await started.request()
            self.assertTrue(response.is_complete, kind)
            self.assertEqual(b"".join(parts), response.body)

    @async_tests.in_loop
    async def test_silent_engine_that_goes_on_ends_the_other_attempt(self):
        async def start_late(worker, arrival, stream):
            await asyncio.sleep(0.9)
            await _silent_at(0)(worker, arrival, stream)

        async with _Fleet() as started:
            started.answer(_silent_at(5), start_late)
            response = await started.request()
            second = started.arrivals[1]
            self.assertIn(
                second, [a for e in started.fleet.engines for a in e.cancelled]
            )
        self.assertEqual(_whole(), response.body)

    # Whichever answers first, each event comes once and in order.
    @async_tests.in_loop
    async def test_events_come_once_whenever_the_silence_ends(self):
        draw = random.Random(38)
        cases = list(itertools.product((0, 1, 2, 3), range(6)))

        async def play(kind):
            silent_s = draw.uniform(0.75, 1.1)
            delay_s = draw.uniform(0.0, 0.3)

            async def other(worker, arrival, stream):
                await asyncio.sleep(delay_s)
                behaviour = (
                    _silent_at(0),
                    _silent_at(9, 1.0),
                    fake_endpoint.crash,
                    fake_endpoint.respond_events(_COUNT, 0.01, stop_after=12),
                )[kind]
                await behaviour(worker, arrival, stream)

            async with _Fleet(max_attempts=3, engines=3) as started:
                started.answer(_silent_at(5, silent_s), other)
                return await started.request()

        responses = await asyncio.gather(*(play(kind) for kind, _ in cases))
        for case, response in zip(cases, responses, strict=True):
            if response.is_complete:
                self.assertEqual(_whole(), response.body, case)
            else:
                self.assertTrue(_whole().startswith(response.body), case)
        self.assertGreaterEqual(sum(r.is_complete for r in responses), 12)
