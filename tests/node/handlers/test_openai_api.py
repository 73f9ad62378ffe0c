"""Tests of the bodies of the OpenAI-compatible API."""

from unittest import mock

import msgspec
import testtools

from fireflyspur.clients import engine_client
from fireflyspur.node.handlers import openai_api


class TestTokenEvents(testtools.TestCase):
    def test_events_equal_those_encoded_in_full(self):
        """Guards against a cached part that contains variable fields."""
        model = 'a"text"b'
        bodies = (
            openai_api.CompletionBody(model, "p"),
            openai_api.ChatBody(model, [openai_api.ChatMessage("user", "p")]),
        )
        lines = [
            engine_client.StreamLine("token", "r", 1, index, text)
            for index, text in enumerate(("a", "text", '"\n\\é\x00', ""))
        ]
        lines.append(
            engine_client.StreamLine("done", "r", 1, finish_reason="stop")
        )
        with mock.patch("time.time", return_value=5.0):
            for body in bodies:
                events = openai_api.TokenEvents(body, "r")
                for line in lines:
                    expected = openai_api.chunk(body, "r", line)
                    self.assertEqual(
                        msgspec.json.encode(expected), events.encode(line)
                    )
