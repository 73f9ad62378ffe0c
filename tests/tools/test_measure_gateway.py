"""Guards against a measuring tool that no longer fits the program."""

import contextlib
import io

import testtools

from tools import measure_gateway


class MeasureGatewayTest(testtools.TestCase):
    """Runs the tool at its smallest size."""

    def test_each_part_has_a_line(self):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            measure_gateway.main(engine_counts=(2,))
        parts = [
            line.split(",")[0].split(":")[0]
            for line in output.getvalue().splitlines()
        ]
        self.assertEqual(
            ["placement"] * 4
            + ["update about one request"]
            + ["exchange"] * 5
            + ["configuration"] * 3,
            parts,
        )
