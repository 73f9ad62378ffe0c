"""Delivery of tokens after broken connections and unexpected lines."""

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.engines import token_delivery

COUNT = 8
STEPS = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(["own", "old", "foreign"]),
        strategies.integers(0, COUNT - 1),
    ),
    strategies.tuples(strategies.just("move"), strategies.just(0)),
)


def line(index, attempt, request_id="r", text=None, kind="token"):
    text = f"t{index}" if text is None else text
    return engine_client.StreamLine(kind, request_id, attempt, index, text)


class TestTokenDelivery(testtools.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=300, database=None
    )
    @hypothesis.given(strategies.lists(STEPS, max_size=40))
    def test_delivers_each_token_once_and_in_order(self, steps):
        """Guards against repeated, missing, unrelated and reordered tokens."""
        delivery, delivered, attempt = token_delivery.TokenDelivery("r"), [], 1
        delivery.start_attempt(attempt)
        for kind, index in steps:
            match kind:
                case "own":
                    delivered += delivery.accept(line(index, attempt))
                case "old":
                    stray = line(index, attempt - 1, text="stray")
                    delivered += delivery.accept(stray)
                case "foreign":
                    stray = line(index, attempt, "other", text="stray")
                    delivered += delivery.accept(stray)
                case "move":
                    attempt += 1
                    delivery.start_attempt(attempt)
        for index in range(delivery.count, COUNT):
            delivered += delivery.accept(line(index, attempt))
        delivered += delivery.accept(line(0, attempt, kind="done", text=""))
        self.assertEqual(
            [*(f"t{n}" for n in range(COUNT)), ""], [d.text for d in delivered]
        )
        self.assertEqual("".join(d.text for d in delivered), delivery.text)

    def test_end_with_missing_token_is_lost_connection(self):
        """Guards against a response that looks complete but lacks a token."""
        delivery = token_delivery.TokenDelivery("r")
        delivery.start_attempt(1)
        self.assertEqual([], delivery.accept(line(1, 1)))
        self.assertRaises(
            exceptions.EngineConnectionLostError,
            delivery.accept,
            line(0, 1, kind="done"),
        )
