"""By which evidence an endpoint that was leaving gets work again."""

import unittest.mock

import testtools

from fireflyspur.routing import leaving_marks

PLACE = ("127.0.0.1", 7)
OWN = leaving_marks.Sign.OWN
NEWS = leaving_marks.Sign.NEWS
LIST = leaving_marks.Sign.VM_LIST


class TestLeavingMarks(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 1000.0
        self.enterContext(
            unittest.mock.patch.object(
                leaving_marks.time, "monotonic", lambda: self.now
            )
        )
        self.marks = leaving_marks.LeavingMarks()

    def report(self, sampled_at=None, incarnation="5"):
        self.marks.clear_by_report(PLACE, incarnation, sampled_at)
        return self.marks.is_marked(PLACE)

    def test_a_later_report_of_the_same_process_undoes_its_own_word(self):
        self.marks.mark(PLACE, OWN, "5", 10.0)
        self.assertTrue(self.report(10.0))
        self.assertTrue(self.report(9.0))
        self.assertFalse(self.report(10.2))

    def test_a_lagging_report_does_not_undo_a_refusal(self):
        """Guards against work for an engine that has just refused some."""
        self.marks.mark(PLACE, OWN, "5")
        self.now += 3.0
        self.assertTrue(self.report(99.0))
        self.now += 3.0
        self.assertFalse(self.report(99.0))

    def test_a_restarted_engine_gets_work_at_once(self):
        self.marks.mark(PLACE, OWN, "5", 10.0)
        self.assertTrue(self.report(99.0, "4"))
        self.assertFalse(self.report(0.0, "6"))

    def test_news_last_until_the_list_was_read(self):
        self.marks.mark(PLACE, NEWS)
        self.now += 6.0
        self.assertTrue(self.report(99.0))
        self.now += 10.0
        self.assertFalse(self.report(99.0))

    def test_no_report_undoes_the_vm_list(self):
        """Guards against work for a VM that is about to stop."""
        self.marks.mark(PLACE, NEWS)
        self.marks.mark(PLACE, LIST)
        self.now += 1000.0
        self.assertTrue(self.report(99.0, "6"))
        self.assertEqual([], self.marks.expire())
        self.marks.clear(PLACE)
        self.assertFalse(self.marks.is_marked(PLACE))

    def test_an_endpoint_without_reports_gets_work_after_a_minute(self):
        """Guards against a service endpoint that stays marked for ever."""
        self.marks.mark(PLACE, OWN)
        self.now += 50.0
        self.assertEqual([], self.marks.expire())
        self.marks.mark(PLACE, NEWS)
        self.now += 50.0
        self.assertEqual([], self.marks.expire())
        self.now += 11.0
        self.assertEqual([PLACE], self.marks.expire())
        self.assertFalse(self.marks.is_marked(PLACE))
