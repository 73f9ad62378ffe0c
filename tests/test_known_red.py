"""The list of tests that are known to fail."""

import pathlib

import testtools

from tests.support import known_red

_ROOT = pathlib.Path(__file__).parents[1]


class KnownRedTest(testtools.TestCase):
    """Guards against an entry that passes over more than its own test."""

    def test_only_lines_of_tests_are_ids(self):
        text = "Heading\n\ntest: tests/a.py::T::test_b\nseen: test: once\n"
        self.assertEqual(
            ["tests/a.py::T::test_b"], known_red.listed_tests(text)
        )

    def test_each_entry_names_one_test_that_exists(self):
        for test in known_red.listed_tests(known_red.read()):
            path, class_name, function = test.split("::")
            source = (_ROOT / path).read_text()
            self.assertIn(f"class {class_name}(", source)
            self.assertIn(f"def {function}(", source)
