"""Next order for an observed and a desired state of an engine."""

import testtools

from fireflyspur.orders import engine_state

DESIRED = engine_state.EngineState({"quill": "2"}, {"polite": "1"}, "any")


def observed(**values):
    return engine_state.parse_state(
        {"models": {"quill": "2"}, "adapters": {"polite": "1"}, **values}
    )


class TestNextOrder(testtools.TestCase):
    def test_nothing_is_ordered_when_the_states_agree(self):
        self.assertIsNone(engine_state.next_order(DESIRED, observed()))

    def test_a_wrong_version_is_loaded(self):
        order = engine_state.next_order(
            DESIRED, observed(models={"quill": "1"})
        )
        self.assertEqual(
            engine_state.SetModels({"quill": "2"}, {"polite": "1"}), order
        )
        self.assertEqual(
            {"model/quill": True},
            engine_state.weights_to_fetch(
                order, observed(models={"quill": "1"})
            ),
        )
        self.assertEqual(
            {"model/quill": False, "adapter/polite": True},
            engine_state.weights_to_fetch(
                order, observed(models={}, adapters={"polite": "0"})
            ),
        )

    def test_a_load_in_progress_is_not_ordered_again(self):
        loading = {"models": {"quill": "2"}, "adapters": {"polite": "1"}}
        state = observed(models={}, loading=loading)
        self.assertIsNone(engine_state.next_order(DESIRED, state))

    def test_the_load_of_a_previous_lease_holder_is_replaced(self):
        """Guards against a stale load on an engine that ignores fencing.

        Such an engine obeys a previous lease holder that was paused.
        """
        loading = {"models": {"quill": "1"}, "adapters": {}}
        order = engine_state.next_order(DESIRED, observed(loading=loading))
        self.assertIsInstance(order, engine_state.SetModels)

    def test_surplus_weights_are_dropped_without_a_slot(self):
        state = observed(models={"quill": "2", "old": "1"})
        order = engine_state.next_order(DESIRED, state)
        self.assertIsInstance(order, engine_state.SetModels)
        self.assertEqual({}, engine_state.weights_to_fetch(order, state))

    def test_the_role_comes_first(self):
        state = observed(role="standby", models={})
        self.assertEqual(
            engine_state.SetRole("any"),
            engine_state.next_order(DESIRED, state),
        )
