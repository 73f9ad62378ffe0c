"""The next order follows from the state seen and the state wanted."""

import testtools

from fireflyspur.orders import engine_state

WANTED = engine_state.EngineState({"quill": "2"}, {"polite": "1"}, "any")


def seen(**values):
    return engine_state.observed(
        {"models": {"quill": "2"}, "adapters": {"polite": "1"}, **values}
    )


class TestNextOrder(testtools.TestCase):
    def test_nothing_is_ordered_when_the_states_agree(self):
        self.assertIsNone(engine_state.next_order(WANTED, seen()))

    def test_a_wrong_version_is_loaded(self):
        order = engine_state.next_order(WANTED, seen(models={"quill": "1"}))
        self.assertEqual(
            engine_state.SetModels({"quill": "2"}, {"polite": "1"}), order
        )
        self.assertEqual(
            {"model/quill": True},
            engine_state.missing(order, seen(models={"quill": "1"})),
        )
        self.assertEqual(
            {"model/quill": False, "adapter/polite": True},
            engine_state.missing(
                order, seen(models={}, adapters={"polite": "0"})
            ),
        )

    def test_a_load_under_way_is_not_ordered_again(self):
        loading = {"models": {"quill": "2"}, "adapters": {"polite": "1"}}
        state = seen(models={}, loading=loading)
        self.assertIsNone(engine_state.next_order(WANTED, state))

    def test_the_load_of_a_former_orderer_is_replaced(self):
        """An engine that ignores fencing obeyed a paused orderer."""
        loading = {"models": {"quill": "1"}, "adapters": {}}
        order = engine_state.next_order(WANTED, seen(loading=loading))
        self.assertIsInstance(order, engine_state.SetModels)

    def test_weights_that_are_too_many_are_dropped_without_a_slot(self):
        state = seen(models={"quill": "2", "old": "1"})
        order = engine_state.next_order(WANTED, state)
        self.assertIsInstance(order, engine_state.SetModels)
        self.assertEqual({}, engine_state.missing(order, state))

    def test_the_role_comes_first(self):
        state = seen(role="standby", models={})
        self.assertEqual(
            engine_state.SetRole("any"),
            engine_state.next_order(WANTED, state),
        )
