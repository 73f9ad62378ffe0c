"""Routing of prompts to engines."""

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
    """Guards against overloaded engines next to idle ones."""

    def test_own_placements_count_before_first_report(self):
        """Guards against a burst that goes to one engine between reports."""
        routing = make_router()
        chosen = collections.Counter(
            routing.choose(SHORT).engine for _ in range(14)
        )
        # Seven engines are reserved for short prompts.
        self.assertEqual(7, len(chosen))
        self.assertLessEqual(max(chosen.values()), 3)

    def test_node_assumes_same_placements_by_other_nodes(self):
        """Guards against a queue that builds up between two reports.

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
        # Its advantage of 6,000 tokens is worth six prompts in all, not six
        # from each node.
        self.assertLessEqual(chosen["engine-0"], 2 * 8)

    def test_nodes_with_same_outdated_report_spread_prompts(self):
        """Guards against all nodes choosing the engine that looked idle."""
        chosen = collections.Counter()
        for seed in range(40):
            routing = make_router(seed=seed)
            for i in range(10):
                backlog = 0 if i == 0 else 4000
                routing.view.update_load(f"engine-{i}", report(backlog))
            chosen[routing.choose(SHORT).engine] += 1
        # Comparing all engines would send all 40 to engine-0.
        self.assertLess(max(chosen.values()), 32)

    def test_short_prompts_avoid_engines_for_long_prompts(self):
        routing = make_router()
        long_engines = {routing.choose(LONG).engine for _ in range(3)}
        self.assertEqual(3, len(long_engines))
        short_engines = {routing.choose(SHORT).engine for _ in range(7)}
        self.assertEqual(set(), long_engines & short_engines)

    def test_short_prompts_do_not_delay_long_prompt_if_others_are_idle(self):
        """Guards against delays of the first token of a long prompt."""
        routing = make_router(engines=4, long_spill_ratio=0)
        busy = {routing.choose(LONG).engine for _ in range(2)}
        chosen = {routing.choose(SHORT).engine for _ in range(2)}
        self.assertEqual(set(), busy & chosen)

    def test_long_prompts_use_idle_engines_when_theirs_are_busy(self):
        """Guards against long prompts that queue while engines are idle."""
        routing = make_router()
        chosen = {routing.choose(LONG).engine for _ in range(6)}
        self.assertEqual(6, len(chosen))

    def test_spill_ratio_keeps_long_prompts_on_their_engines(self):
        routing = make_router(long_spill_ratio=1000)
        chosen = {routing.choose(LONG).engine for _ in range(9)}
        self.assertEqual(3, len(chosen))

    def test_short_prompts_spill_over_when_that_is_faster(self):
        """Guards against short prompts that queue while engines are idle."""
        routing = make_router(engines=4, candidates=4)
        chosen = {routing.choose(SHORT).engine for _ in range(60)}
        self.assertEqual(4, len(chosen))

    def test_prompt_goes_to_engine_with_cached_prefix(self):
        routing = make_router()
        first = routing.choose(SHORT)
        routing.record_first_token(first)
        routing.finish(first)
        second = routing.choose(SHORT)
        self.assertEqual(first.engine, second.engine)
        self.assertLess(second.prefill_tokens, 200)

    def test_restarted_engine_has_no_cached_prefix(self):
        routing = make_router(engines=1)
        routing.view.update_load("engine-0", report(0, incarnation="a"))
        first = routing.choose(SHORT)
        routing.record_first_token(first)
        routing.finish(first)
        routing.view.update_load("engine-0", report(0, incarnation="b"))
        self.assertEqual(1000, routing.choose(SHORT).prefill_tokens)

    def test_leaving_engine_gets_no_prompts(self):
        routing = make_router(engines=2)
        routing.view.update_load("engine-0", report(0, leaving=True))
        chosen = {routing.choose(SHORT).engine for _ in range(20)}
        self.assertEqual({"engine-1"}, chosen)

    def test_error_without_engines_has_retry_after(self):
        routing = make_router(engines=0)
        error = self.assertRaises(
            exceptions.NoEngineError, routing.choose, SHORT
        )
        self.assertIsNotNone(error.retry_after_s)

    def test_baseline_policies_are_selectable(self):
        for policy in ("round_robin", "least_outstanding"):
            routing = make_router(engines=4, routing=policy)
            chosen = collections.Counter(
                routing.choose(LONG).engine for _ in range(8)
            )
            self.assertEqual([2] * 4, list(chosen.values()))

    def test_finished_placement_is_removed(self):
        routing = make_router(engines=1)
        placement = routing.choose(SHORT)
        routing.finish(placement)
        routing.finish(placement)
        self.assertEqual([], routing.view.outstanding("engine-0"))
        self.assertEqual([], routing.view.pending_prefills("engine-0"))
