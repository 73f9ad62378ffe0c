"""Choice of engines."""

import collections

import testtools

from fireflyspur.routing import engine_view
from fireflyspur.routing import exceptions
from fireflyspur.routing import load_report
from fireflyspur.routing import router
from tests.support import catalogs

SHORT = router.RouteRequest("quill", "", "x" * 4000, 1000, 100)
LONG = router.RouteRequest("quill", "", "y" * 400_000, 100_000, 100)


def make_router(engines=10, seed=1, node_count=1, **policy):
    catalog = catalogs.make(
        catalogs.policy(**policy),
        *(catalogs.engine(f"engine-{i}") for i in range(engines)),
    )
    view = engine_view.EngineView(catalog)
    return router.Router(catalog, view, "", seed, lambda: node_count)


def report(waiting_prefill_tokens, now=0.0, **values):
    made = load_report.parse(
        {"waiting_prefill_tokens": waiting_prefill_tokens, **values}
    )
    return made


class TestRouter(testtools.TestCase):
    def test_own_work_counts_before_any_report(self):
        """Otherwise a burst within one report's lag goes to one engine."""
        routing = make_router()
        chosen = collections.Counter(
            routing.choose(SHORT).engine for _ in range(14)
        )
        # Seven engines are kept for short prompts.
        self.assertEqual(7, len(chosen))
        self.assertLessEqual(max(chosen.values()), 3)

    def test_a_node_expects_the_others_to_do_as_it_did(self):
        """Guards against a queue that no node sees between two reports.

        With 8 nodes and 8 engines, each node's placements since the reports
        must spread as if all had been made by one node.
        """
        routings = [
            make_router(engines=8, seed=seed, node_count=8)
            for seed in range(8)
        ]
        for routing in routings:
            for i in range(8):
                backlog = 0 if i == 0 else 6000
                routing.view.update_load(f"engine-{i}", report(backlog))
        chosen = collections.Counter(
            routing.choose(SHORT).engine
            for _ in range(8)
            for routing in routings
        )
        # Its lead of 6,000 tokens is worth six prompts, not six a node.
        self.assertLessEqual(chosen["engine-0"], 2 * 8)

    def test_nodes_with_the_same_stale_report_do_not_herd(self):
        """The engine that looked idle a moment ago must not get it all."""
        chosen = collections.Counter()
        for seed in range(40):
            routing = make_router(seed=seed)
            for i in range(10):
                backlog = 0 if i == 0 else 4000
                routing.view.update_load(f"engine-{i}", report(backlog))
            chosen[routing.choose(SHORT).engine] += 1
        # Comparing all engines would send all 40 to engine-0.
        self.assertLess(max(chosen.values()), 32)

    def test_short_prompts_keep_off_the_engines_for_long_ones(self):
        routing = make_router()
        long_engines = {routing.choose(LONG).engine for _ in range(3)}
        self.assertEqual(3, len(long_engines))
        short_engines = {routing.choose(SHORT).engine for _ in range(7)}
        self.assertEqual(set(), long_engines & short_engines)

    def test_short_prompts_do_not_interrupt_a_long_one_beside_idle_engines(
        self,
    ):
        """Each interruption moves the long prompt's first token back."""
        routing = make_router(engines=4, long_spill_ratio=0)
        busy = {routing.choose(LONG).engine for _ in range(2)}
        chosen = {routing.choose(SHORT).engine for _ in range(2)}
        self.assertEqual(set(), busy & chosen)

    def test_long_prompts_use_idle_engines_when_their_own_are_busy(self):
        """A long prompt must not wait for another beside idle engines."""
        routing = make_router()
        chosen = {routing.choose(LONG).engine for _ in range(6)}
        self.assertEqual(6, len(chosen))

    def test_a_record_keeps_long_prompts_apart(self):
        routing = make_router(long_spill_ratio=1000)
        chosen = {routing.choose(LONG).engine for _ in range(9)}
        self.assertEqual(3, len(chosen))

    def test_short_prompts_spill_over_when_that_is_faster(self):
        """A burst of short prompts must not queue beside idle engines."""
        routing = make_router(engines=4, candidates=4)
        chosen = {routing.choose(SHORT).engine for _ in range(60)}
        self.assertEqual(4, len(chosen))

    def test_a_cached_prefix_attracts_the_next_prompt(self):
        routing = make_router()
        first = routing.choose(SHORT)
        routing.record_first_token(first)
        routing.finish(first)
        second = routing.choose(SHORT)
        self.assertEqual(first.engine, second.engine)
        self.assertLess(second.prefill_tokens, 200)

    def test_a_restarted_engine_has_no_cached_prefix(self):
        routing = make_router(engines=1)
        routing.view.update_load("engine-0", report(0, incarnation="a"))
        first = routing.choose(SHORT)
        routing.record_first_token(first)
        routing.finish(first)
        routing.view.update_load("engine-0", report(0, incarnation="b"))
        self.assertEqual(1000, routing.choose(SHORT).prefill_tokens)

    def test_leaving_engines_get_no_new_work(self):
        routing = make_router(engines=2)
        routing.view.update_load("engine-0", report(0, leaving=True))
        chosen = {routing.choose(SHORT).engine for _ in range(20)}
        self.assertEqual({"engine-1"}, chosen)

    def test_no_engine_is_an_error_with_a_time_to_come_back(self):
        routing = make_router(engines=0)
        error = self.assertRaises(
            exceptions.NoEngineError, routing.choose, SHORT
        )
        self.assertIsNotNone(error.retry_after_s)

    def test_the_baselines_stay_selectable(self):
        for policy in ("round_robin", "least_outstanding"):
            routing = make_router(engines=4, routing=policy)
            chosen = collections.Counter(
                routing.choose(LONG).engine for _ in range(8)
            )
            self.assertEqual([2] * 4, list(chosen.values()))

    def test_a_finished_placement_leaves_nothing_behind(self):
        routing = make_router(engines=1)
        placement = routing.choose(SHORT)
        routing.finish(placement)
        routing.finish(placement)
        self.assertEqual([], routing.view.outstanding("engine-0"))
        self.assertEqual([], routing.view.pending_prefills("engine-0"))
