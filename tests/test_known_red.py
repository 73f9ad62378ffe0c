"""The list of tests that are known to fail."""

import importlib

import testtools

from tests.support import known_red


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
            name = path.removesuffix(".py").replace("/", ".")
            test_case = getattr(importlib.import_module(name), class_name)
            self.assertTrue(callable(getattr(test_case, function, None)), test)
