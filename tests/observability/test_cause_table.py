"""Counting of causes from logs."""

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from fireflyspur.console import application
from fireflyspur.observability import cause_table

_TARGETS = (
    cause_table.Target(1_000_000, 3_000, 800),
    cause_table.Target(16_000, 300, 200),
)


def line(**fields):
    return json.dumps({"message": "Request ended", "status": 200, **fields})


def causes(*lines):
    counts = cause_table.count_causes(
        cause_table.read_requests(lines), _TARGETS
    )
    return [(row.cause, row.max_tokens, row.count) for row in counts]


class CauseTableTest(testtools.TestCase):
    """Guards against causes that are confused or not counted."""

    def cause(self, **fields):
        ((cause, _, _),) = causes(line(**fields))
        return cause

    def test_response_in_time(self):
        self.assertEqual("on time", self.cause(first_ms=300, gap_ms=200))

    def test_late_first_part_is_split_by_prediction_and_retry(self):
        self.assertEqual(
            "late first part, as predicted",
            self.cause(first_ms=900, predicted_ms=800),
        )
        self.assertEqual(
            "late first part, not predicted",
            self.cause(first_ms=900, predicted_ms=80),
        )
        self.assertEqual(
            "late first part, after a failed attempt",
            self.cause(first_ms=900, predicted_ms=800, tried=["a", "b"]),
        )

    def test_late_pause(self):
        self.assertEqual("late pause", self.cause(first_ms=9, gap_ms=201))

    def test_disconnected_caller(self):
        self.assertEqual(
            "caller left before the first part", self.cause(status=0)
        )
        self.assertEqual(
            "caller left before the end", self.cause(status=0, first_ms=9)
        )

    def test_similar_failures_are_counted_together(self):
        first = line(status=502, reason="silent for 9.1 s")
        second = line(status=502, reason="silent for 11.0 s")
        self.assertEqual(
            [("failed: silent for N s", 16_000, 2)], causes(first, second)
        )

    def test_refusal_has_its_reason(self):
        self.assertEqual(
            "refused: no endpoint has room",
            self.cause(status=503, reason="no endpoint has room"),
        )

    def test_target_depends_on_prompt_length(self):
        short = line(tokens=5_000, first_ms=900)
        long = line(tokens=200_000, first_ms=900)
        self.assertEqual(
            [
                ("late first part, not predicted", 16_000, 1),
                ("on time", 1_000_000, 1),
            ],
            causes(short, long),
        )

    def test_other_lines_are_skipped(self):
        self.assertEqual(
            [("on time", 16_000, 1)],
            causes(
                "12.3 node-1 " + line(first_ms=1),
                "no JSON, Request ended",
                "{broken Request ended",
                json.dumps({"message": "Peer silent"}),
                line(status="many"),
            ),
        )


class CausesCommandTest(testtools.TestCase):
    """Guards against a command that ignores invalid input."""

    def run_command(self, *arguments):
        output, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            try:
                code = application.main(["causes", *arguments])
            except SystemExit as error:
                code = error.code
        return code, output.getvalue(), errors.getvalue()

    def test_files_are_counted_together(self):
        with tempfile.TemporaryDirectory() as folder:
            names = []
            for number in range(2):
                path = pathlib.Path(folder, str(number))
                path.write_text(line(first_ms=1) + "\n", encoding="utf-8")
                names.append(str(path))
            code, text, _ = self.run_command(
                *names, "--aim=1000:300:0", "--json"
            )
        self.assertEqual(0, code)
        self.assertEqual(2, json.loads(text)[0]["count"])

    def test_missing_file_and_invalid_target_are_errors(self):
        code, _, text = self.run_command("/no/log", "--aim=1:1:1")
        self.assertEqual(3, code)
        self.assertIn("/no/log", text)
        code, _, text = self.run_command("--aim=1:2")
        self.assertEqual(2, code)
        self.assertIn("three whole numbers", text)
