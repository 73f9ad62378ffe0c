"""The engine stand-in produces each fault that it is told to."""

import http.client
import urllib.error

from tests.standins import test_engine
from tools import fleet as fleets


class TestFaults(test_engine.EngineCase):
    def set_faults(self, url, **faults):
        fleets.call(url + "/faults", "POST", faults)

    def test_duplicate_and_late_lines_surround_the_answer(self):
        # Guards against a runner that is never shown a wrong line.
        url = self.engine()
        clean = self.lines(url)
        self.set_faults(url, duplicate_lines=True, late_lines=True)
        lines = self.lines(url, request_id="r2", attempt=2)
        stale = [line for line in lines if line["attempt"] == 1]
        self.assertEqual(5, len(stale))
        texts = [
            line["text"]
            for line in lines
            if line["type"] == "token" and line["attempt"] == 2
        ]
        self.assertEqual(
            [line["text"] for line in clean[:-1] for _ in range(2)], texts
        )

    def test_reordered_lines_are_all_there(self):
        # Guards against a fault that loses lines instead.
        url = self.engine()
        self.set_faults(url, reorder_lines=True)
        lines = self.lines(url, max_tokens=6)
        indexes = [line["index"] for line in lines[:-1]]
        self.assertNotEqual(sorted(indexes), indexes)
        self.assertEqual(list(range(6)), sorted(indexes))
        self.assertEqual("done", lines[-1]["type"])

    def test_a_lost_answer_to_a_cancellation_still_cancels(self):
        url = self.engine()
        self.set_faults(url, lose_cancel_answers=1)
        path = url + "/engine/v1/streams/r1?attempt=1"
        try:
            fleets.call(path, "DELETE")
        except (urllib.error.URLError, http.client.RemoteDisconnected):
            pass
        else:
            self.fail("the answer was not lost")
        self.assertEqual((409, "cancelled"), self.refusal(self.lines, url))
        self.assertEqual({}, fleets.call(path, "DELETE"))

    def test_a_frozen_load_report_hides_new_work(self):
        url = self.engine("--decode-tokens-per-s", "1")
        self.set_faults(url, freeze_load=True)
        self.start_and_leave(url, max_tokens=100_000)
        path = url + "/engine/v1/load"
        self.assertEqual(0, fleets.call(path)["running_streams"])
        self.set_faults(url)
        self.assertEqual(1, fleets.call(path)["running_streams"])

    def test_refused_orders_change_nothing(self):
        url = self.engine()
        self.set_faults(url, refuse_orders=True)
        order = {"fencing": 1, "order": {"type": "leave"}}
        self.assertEqual(
            (503, "orders_refused"),
            self.refusal(
                fleets.call, url + "/engine/v1/orders", "POST", order
            ),
        )
        state = fleets.call(url + "/engine/v1/state")
        self.assertEqual((False, 0), (state["leaving"], state["fencing"]))

    def test_a_crash_text_given_later_takes_effect(self):
        url = self.engine()
        self.set_faults(url, crash_on="poison")
        self.assertEqual([], self.lines(url, prompt="a poison pill"))
        self.assertNotEqual(0, self.fleet.process("engine").wait())
