"""Tests that are known to fail, as listed at the root."""

import pathlib

PATH = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
_TEST = "test: "


def listed_tests(text):
    """Return the ids of the tests that a list names."""
    return [
        line.removeprefix(_TEST).strip()
        for line in text.splitlines()
        if line.startswith(_TEST)
    ]


def read():
    """Return the list, empty if there is none."""
    return PATH.read_text() if PATH.exists() else ""
