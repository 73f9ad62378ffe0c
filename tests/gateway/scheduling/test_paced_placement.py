"""Choice between endpoints with and without a pace, without a network."""

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.endpoints import endpoint_pace
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import placement
from tests.gateway.scheduling import test_placement


class PacedPlacementTest(test_placement.PlacementTest):
    """Guards against load on plain endpoints that can't take it yet.

    All choices of endpoints without a pace are the same, too.
    """

    def setUp(self):
        super().setUp()
        self.beginnings = {}
        self.paces = endpoint_pace.EndpointPaces(
            self,
            self.directory.find_named,
            lambda endpoint: self.beginnings.get(endpoint.instance),
        )
        self.selector = placement.EndpointSelector(
            self.directory,
            self.table,
            engine_candidates.EngineCandidates.for_one_pool(
                self.directory, self.table
            ),
            "zone-a",
            self.paces,
        )

    def drafts_for(self, endpoint):
        return []

    def begin(self, *numbers, is_cold=False):
        for number in numbers:
            self.beginnings[f"engine-{number}"] = endpoint_pace.SlowStart(
                "fault", 0.0, is_cold
            )

    def fill(self, number, count):
        for _ in range(count):
            self.add_request(f"engine-{number}", test_placement.QUOTE)

    def test_limit_alone_refuses_nothing(self):
        self.start_engines(2)
        self.begin(0, 1)
        self.fill(0, 3)
        self.fill(1, 5)
        plain = self.selector.choose_plain("models", frozenset())
        self.assertEqual("engine-0", plain.primary.instance)

    def test_plain_request_prefers_an_endpoint_with_room(self):
        self.start_engines(2)
        self.begin(0)
        self.fill(0, 2)
        self.fill(1, 6)
        plain = self.selector.choose_plain("models", frozenset())
        self.assertEqual("engine-1", plain.primary.instance)

    def test_slow_plain_endpoint_gets_fewer(self):
        self.start_engines(2)
        expected = endpoint_pace.Expectation(0.3)
        self.paces.record_answer(example_engine.endpoint(0), 3.0, expected)
        self.fill(1, 2)
        plain = self.selector.choose_plain("models", frozenset())
        self.assertEqual("engine-0", plain.primary.instance)
        self.fill(0, 1)
        plain = self.selector.choose_plain("models", frozenset())
        self.assertEqual("engine-1", plain.primary.instance)
