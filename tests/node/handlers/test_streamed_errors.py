"""Errors inside a streamed answer."""

import asyncio

import testtools

from fireflyspur.clients import engine_client
from tests.support import prompt_handlers


class FailingRunner:
    """Yields one token and then ends as it is told.

    :param error: what is raised, or None for an end without closing line
    """

    def __init__(self, error):
        self.error = error

    async def run(self, request):
        yield engine_client.StreamLine("token", "r", 1, 0, "part ")
        if self.error:
            raise self.error


class TestStreamedErrors(testtools.TestCase):
    def test_a_stream_that_breaks_off_ends_with_an_error(self):
        """Guards against a part that a caller takes for the whole."""
        for error, code in (
            (ValueError("a fault of the node"), "internal_error"),
            (None, "attempts_exhausted"),
        ):
            response = asyncio.run(prompt_handlers.fetch(FailingRunner(error)))
            self.assertEqual("part ", response.text)
            self.assertFalse(response.is_complete)
            self.assertEqual(code, response.error["code"])
            self.assertEqual("may_have_run", response.error["verdict"])
