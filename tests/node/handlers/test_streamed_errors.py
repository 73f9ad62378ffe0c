"""Tests of errors inside a streamed response."""

import asyncio

import testtools

from fireflyspur.clients import engine_client
from tests.support import prompt_handlers


class FailingRunner:
    """Yields one token, then fails or ends early.

    :param error: exception to raise, or None to end without a closing line
    """

    def __init__(self, error):
        self.error = error

    async def run(self, request):
        yield engine_client.StreamLine("token", "r", 1, 0, "part ")
        if self.error:
            raise self.error


class TestStreamedErrors(testtools.TestCase):
    def test_a_truncated_stream_ends_with_an_error(self):
        """Guards against a truncated response that looks complete."""
        for error, code in (
            (ValueError("a fault of the node"), "internal_error"),
            (None, "attempts_exhausted"),
        ):
            response = asyncio.run(prompt_handlers.fetch(FailingRunner(error)))
            self.assertEqual("part ", response.text)
            self.assertFalse(response.is_complete)
            self.assertEqual(code, response.error["code"])
            self.assertEqual("may_have_run", response.error["verdict"])
