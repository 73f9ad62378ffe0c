"""The engine stand-in behaves as the node and the checks assume."""

import json
import threading
import time
import urllib.error
import urllib.request

import testtools

from fireflyspur.standins import token_source
from fireflyspur.standins.engine import settings  # noqa: H306
from tests.support import polling
from tools import fleet as fleets

_BYTES_PER_TOKEN = 4


class EngineCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())

    def engine(self, *options, name="engine"):
        options = ("--load-lag-s", "0", "--event-lag-s", "0", *options)
        self.fleet.start_standin(
            name, "engine", "--time-factor", "50", *options
        )
        return self.fleet.url(name)

    def body(self, request_id="r1", **values):
        return {
            "request_id": request_id,
            "attempt": 1,
            "owner": "node-1:1",
            "deadline": time.time() + 60,
            "model": "quill",
            "adapter": "",
            "prompt": "How much?",
            "max_tokens": 5,
            "start_index": 0,
            "priority": 5,
            **values,
        }

    def open(self, url, body):
        return urllib.request.urlopen(
            urllib.request.Request(
                url + "/engine/v1/streams", data=json.dumps(body).encode()
            ),
            timeout=60,
        )

    def lines(self, url, **values):
        with self.open(url, self.body(**values)) as response:
            return [json.loads(line) for line in response]

    def refusal(self, function, *arguments, **values):
        error = self.assertRaises(
            urllib.error.HTTPError, function, *arguments, **values
        )
        with error:
            return error.code, json.loads(error.read())["code"]

    def holdings(self, url):
        return fleets.call(url + "/engine/v1/holdings")["holdings"]

    def blocks(self, url):
        return fleets.call(url + "/stats")["blocks"]

    def start_and_leave(self, url, **values):
        """Start a stream and break its connection after one line."""
        response = self.open(url, self.body(**values))
        response.readline()
        response.close()


class TestStreams(EngineCase):
    def test_a_broken_connection_can_be_resumed(self):
        # Guards against streams that end with their connection.
        url = self.engine()
        fleets.call(url + "/faults", "POST", {"cut_after_tokens": 2})
        first = []
        with self.open(url, self.body()) as response:
            try:
                first = [json.loads(line) for line in response]
            except (OSError, ValueError) as error:
                self.addDetail(
                    "cut", testtools.content.text_content(str(error))
                )
        query = f"?attempt=1&from={len(first)}"
        with urllib.request.urlopen(
            url + "/engine/v1/streams/r1" + query
        ) as response:
            rest = [json.loads(line) for line in response]
        texts = [x["text"] for x in first + rest if x["type"] == "token"]
        self.assertEqual(
            [
                token_source.token_text("quill", "", "How much?", i)
                for i in range(5)
            ],
            texts,
        )
        self.assertEqual("done", rest[-1]["type"])
        self.assertEqual(0, self.blocks(url)["live"])

    def test_a_cancelled_attempt_never_starts_later(self):
        # Guards against a start that overtakes its own cancellation.
        url = self.engine()
        path = url + "/engine/v1/streams/r1?attempt=1"
        fleets.call(path, "DELETE")
        self.assertEqual((409, "cancelled"), self.refusal(self.lines, url))
        self.assertEqual([], fleets.call(url + "/stats")["streams"])

    def test_frees_what_is_past_its_deadline(self):
        # Guards against memory that stays lost after its owner has died.
        url = self.engine("--decode-tokens-per-s", "1")
        soon = time.time() + 1.0
        self.start_and_leave(url, max_tokens=100_000, deadline=soon)
        fleets.call(
            url + "/engine/v1/reservations",
            "POST",
            {
                "reservation_id": "x",
                "owner": "node-1:1",
                "deadline": soon,
                "tokens": 1000,
            },
        )
        polling.wait_until(
            lambda: not self.holdings(url), "the holdings are freed"
        )
        self.assertEqual(0, self.blocks(url)["live"])

    def test_keeps_what_is_expired_when_told_so(self):
        # Guards against a sweeper test that passes without the sweeper.
        url = self.engine("--keep-expired", "--decode-tokens-per-s", "1")
        soon = time.time() + 0.5
        self.start_and_leave(url, max_tokens=100_000, deadline=soon)
        polling.wait_until(lambda: time.time() > soon + 0.5, "it expired")
        self.assertEqual(1, len(self.holdings(url)))

    def test_a_prompt_that_crashes_ends_the_process(self):
        url = self.engine("--crash-on", "poison")
        self.lines(url)
        # urllib reports the broken connection as the end of the lines.
        lines = self.lines(url, request_id="r2", prompt="a poison pill")
        self.assertEqual([], lines)
        self.assertNotEqual(0, self.fleet.process("engine").wait())

    def test_a_long_prompt_is_answered_and_cached(self):
        url = self.engine("--memory-tokens", "1100000")
        prompt = "word" * 1_000_000
        first = self.lines(url, prompt=prompt)
        text = token_source.token_text("quill", "", prompt, 4)
        self.assertEqual(text, first[-2]["text"])
        usage = first[-1]["usage"]
        self.assertEqual(1_000_000, usage["prompt_tokens"])
        cached = self.blocks(url)["cached"]
        self.assertEqual(1_000_000 // 256, cached)

    def test_urgent_streams_overtake_waiting_ones(self):
        # Guards against priorities that are read but not used.
        url = self.engine()
        order = []
        long = "word" * 300_000

        def run(request_id, prompt, priority):
            self.lines(
                url, request_id=request_id, prompt=prompt, priority=priority
            )
            order.append(request_id)

        threads = []
        for request_id, prompt, priority in (
            ("long", long, 9),
            ("short", "How much?", 0),
        ):
            thread = threading.Thread(
                target=run, args=(request_id, prompt, priority)
            )
            thread.start()
            threads.append(thread)
            polling.wait_until(
                lambda: fleets.call(url + "/stats")["prompts"], "it started"
            )
        for thread in threads:
            thread.join()
        self.assertEqual(["short", "long"], order)


class TestLoad(EngineCase):
    def test_reports_waiting_prefill_by_priority(self):
        # Guards against a report in which urgent prompts seem to wait for
        # less urgent ones.
        url = self.engine("--prefill-tokens-per-s", "1", "--step-tokens", "1")
        for priority in (2, 7):
            body = self.body(
                request_id=f"r{priority}",
                prompt="word" * 9000,
                priority=priority,
            )
            self.open(url, body).close()
        load = fleets.call(url + "/engine/v1/load")
        self.assertEqual({"2", "7"}, set(load["prefill_by_priority"]))
        self.assertEqual(
            load["waiting_prefill_tokens"],
            sum(load["prefill_by_priority"].values()),
        )
        self.assertEqual(2, load["running_streams"] + load["waiting_streams"])


class TestMemory(EngineCase):
    def test_live_blocks_evict_cached_ones(self):
        # Guards against a cache that fills the memory for good.
        url = self.engine("--memory-tokens", "2560", "--event-loss", "0")
        for number in range(4):
            prompt = f"{number:04}" * 1024
            self.lines(url, request_id=f"r{number}", prompt=prompt)
        blocks = self.blocks(url)
        self.assertEqual(0, blocks["live"])
        self.assertLessEqual(blocks["cached"], 10)
        events = fleets.call(url + "/engine/v1/cache_events?after=0")
        kinds = [event["type"] for event in events["events"]]
        self.assertIn("evicted", kinds)
        self.assertEqual(4, kinds.count("stored"))

    def test_a_group_holds_what_one_engine_cannot(self):
        urls = [
            self.engine("--memory-tokens", "5120", name=name)
            for name in ("engine-1", "engine-2")
        ]
        prompt = "word" * 8000
        self.assertEqual(
            (413, "too_large"),
            self.refusal(self.lines, urls[0], prompt=prompt),
        )
        for url in urls:
            fleets.call(
                url + "/engine/v1/reservations",
                "POST",
                {
                    "reservation_id": "g",
                    "owner": "node-1:1",
                    "deadline": time.time() + 60,
                    "tokens": 4096,
                },
            )
        port = self.fleet.process("engine-2").ports["port"]
        lines = self.lines(
            urls[0],
            prompt=prompt,
            reservation="g",
            group=[{"address": "127.0.0.1", "port": port, "id": "g"}],
        )
        self.assertEqual("done", lines[-1]["type"])
        self.assertEqual([], self.holdings(urls[0]))
        self.assertEqual(1, len(self.holdings(urls[1])))

    def test_an_import_makes_the_prefix_warm(self):
        urls = [self.engine(name=name) for name in ("engine-1", "engine-2")]
        prompt = "word" * 2048
        owner = {"owner": "node-1:1", "deadline": time.time() + 60}
        self.lines(urls[0], prompt=prompt)
        fleets.call(
            urls[0] + "/engine/v1/kv/exports",
            "POST",
            {**owner, "export_id": "x", "model": "quill", "prompt": prompt},
        )
        port = self.fleet.process("engine-1").ports["port"]
        answer = fleets.call(
            urls[1] + "/engine/v1/kv/imports",
            "POST",
            {
                **owner,
                "import_id": "x",
                "export": {"address": "127.0.0.1", "port": port, "id": "x"},
            },
        )
        self.assertEqual(2048, answer["tokens"])
        self.assertEqual(8, self.blocks(urls[1])["cached"])


class TestOrders(EngineCase):
    def order(self, url, fencing, **order):
        return fleets.call(
            url + "/engine/v1/orders",
            "POST",
            {"fencing": fencing, "order": order},
        )

    def test_fencing_is_honoured_or_ignored(self):
        strict = self.engine("--checks-fencing", name="strict")
        loose = self.engine(name="loose")
        for url in (strict, loose):
            self.order(url, 7, type="set_role", role="prefill")
        self.assertEqual(
            (409, "stale_fencing"),
            self.refusal(
                self.order, strict, 6, type="set_role", role="decode"
            ),
        )
        self.order(loose, 6, type="set_role", role="decode")
        state = fleets.call(loose + "/engine/v1/state")
        self.assertEqual(("decode", 7), (state["role"], state["fencing"]))

    def test_loads_exactly_the_models_of_an_order(self):
        url = self.engine("--model", "quill=1", "--model-load-s", "1")
        self.order(url, 1, type="set_models", models={"reed": "2"})

        def state():
            return fleets.call(url + "/engine/v1/state")

        polling.wait_until(
            lambda: state()["models"] == {"reed": "2"}, "the model is loaded"
        )
        self.assertIsNone(state()["loading"])
        self.assertEqual(
            (409, "model_not_resident"), self.refusal(self.lines, url)
        )

    def test_a_leaving_engine_takes_nothing_until_it_returns(self):
        url = self.engine()
        self.order(url, 1, type="leave")
        self.assertEqual((503, "leaving"), self.refusal(self.lines, url))
        self.order(url, 1, type="return")
        self.assertEqual("done", self.lines(url)[-1]["type"])


class TestFormula(testtools.TestCase):
    def test_a_lone_prompt_needs_the_sum_of_its_steps(self):
        rates = settings.EngineSettings(
            prefill_tokens_per_s=1000, decode_tokens_per_s=10, step_tokens=200
        )
        # Two full steps of 0.2 s and one that reading the weights bounds.
        self.assertAlmostEqual(0.5, rates.idle_ttft_s(450))
