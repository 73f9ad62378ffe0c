"""Guards against a demo that hides failures or cannot build its parts."""

import testtools

from tools import demo


class TestDemo(testtools.TestCase):
    def test_the_report_names_failures(self):
        text = demo.report(
            [
                demo.Result(0, 250, 1, 0.1, ""),
                demo.Result(1, 250, 2, 0.3, ""),
                demo.Result(2, 1000, 3, 9.0, "no_engine_available"),
            ],
            1,
        )
        self.assertIn("3 prompts, 2 whole answers, 2 sent again", text)
        self.assertIn("streams left on the engines: 1", text)
        self.assertIn("request 2 failed: no_engine_available", text)

    def test_standins_are_found(self):
        self.assertTrue(demo.has_standin("engine"))
        self.assertFalse(demo.has_standin("none"))

    def test_idempotency_keys_have_version_7(self):
        key = demo._uuid7()
        self.assertEqual(
            (7, "specified in RFC 4122"), (key.version, key.variant)
        )
