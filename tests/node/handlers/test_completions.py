"""Guards against responses that the openai client cannot read."""

import contextlib
import json

import openai

from fireflyspur.standins import token_source
from tests.support import polling
from tests.support import records
from tests.support import single_node
from tools import fleet as fleets

MESSAGES = [{"role": "user", "content": "How much?"}]
MANY_TOKENS = 100_000


class TestOpenaiClient(single_node.SingleNodeTest):
    def setUp(self):
        super().setUp()
        self.client = openai.OpenAI(
            base_url=self.url + "/v1", api_key=records.KEY, max_retries=0
        )
        self.addCleanup(self.client.close)

    def expected(self, prompt, count):
        return "".join(
            token_source.token_text("quill", "", prompt, i)
            for i in range(count)
        )

    def engine_streams(self):
        url = self.fleet.url("engine-1") + "/engine/v1/holdings"
        holdings = fleets.call(url)["holdings"]
        return sum(1 for holding in holdings if holding["kind"] == "stream")

    def complete(self, **options):
        return self.client.completions.create(
            model="quill", prompt="How much?", **options
        )

    def chat(self, **options):
        return self.client.chat.completions.create(
            model="quill", messages=MESSAGES, **options
        )

    def test_completions(self):
        response = self.complete(max_tokens=5)
        text = self.expected("How much?", 5)
        self.assertEqual(text, response.choices[0].text)
        self.assertEqual(5, response.usage.completion_tokens)
        events = list(
            self.complete(
                max_tokens=5,
                stream=True,
                stream_options={"include_usage": True},
            )
        )
        parts = [c.text for e in events for c in e.choices]
        self.assertEqual(text, "".join(parts))
        self.assertEqual(5, events[-1].usage.completion_tokens)

    def test_chat_completions(self):
        text = self.expected("user: How much?", 5)
        response = self.chat(max_tokens=5)
        self.assertEqual(text, response.choices[0].message.content)
        events = self.chat(max_completion_tokens=5, stream=True)
        parts = [e.choices[0].delta.content or "" for e in events]
        self.assertEqual(text, "".join(parts))

    def test_lists_models(self):
        self.assertEqual(["quill"], [m.id for m in self.client.models.list()])

    def test_errors_map_to_exceptions_of_the_client(self):
        other = self.client.with_options(api_key="wrong")
        with self.assertRaises(openai.AuthenticationError):
            list(other.models.list())
        with self.assertRaises(openai.NotFoundError) as caught:
            self.client.completions.create(model="none", prompt="x")
        self.assertEqual("model_not_found", caught.exception.code)
        with self.assertRaises(openai.BadRequestError):
            self.complete(max_tokens=-1)

    def test_closing_a_stream_cancels_it_on_the_engine(self):
        for call in (self.complete, self.chat):
            events = call(max_tokens=MANY_TOKENS, stream=True)
            next(iter(events))
            self.assertEqual(1, self.engine_streams())
            events.close()
            self.check_cancelled()

    def test_a_client_timeout_cancels_the_request_on_the_engine(self):
        for call in (self.complete, self.chat):
            with self.assertRaises(openai.APITimeoutError):
                call(max_tokens=MANY_TOKENS, timeout=0.3)
            self.check_cancelled()

    def check_cancelled(self):
        polling.wait_until(
            lambda: self.engine_streams() == 0, "the engine has no stream"
        )
        self.wait_idle()


class TestFailingStream(single_node.SingleNodeTest):
    settings = {"logging": {"format": "json"}}

    def test_an_error_in_a_stream_raises_an_exception(self):
        client = openai.OpenAI(
            base_url=self.url + "/v1",
            api_key=records.KEY,
            default_headers={"Request-Timeout": "20"},
        )
        with contextlib.closing(client):
            events = client.completions.create(
                model="quill", prompt="x", max_tokens=MANY_TOKENS, stream=True
            )
            iterator = iter(events)
            next(iterator)
            self.fleet.process("engine-1").kill()
            with self.assertRaises(openai.APIError):
                for _ in iterator:
                    pass
        self.wait_idle()
        polling.wait_until(self.log_line, "the node logs the request")
        line = self.log_line()
        self.assertEqual("counter", line["account"])
        self.assertEqual("quill", line["model"])
        self.assertEqual("may_have_run", line["verdict"])
        self.assertGreater(line["completion_tokens"], 0)
        self.assertTrue(line["request_id"].startswith("req-"))

    def log_line(self):
        lines = map(json.loads, self.fleet.log_text("node-1").splitlines())
        return next((x for x in lines if x["part"] == "http"), None)
