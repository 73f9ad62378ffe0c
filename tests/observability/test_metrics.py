"""Guards against metrics that are renamed or not sent."""

import socket

import testtools

from fireflyspur.errors import exceptions
from fireflyspur.generated import settings
from fireflyspur.observability import length_bins
from fireflyspur.observability import metrics
from tests.support import single_node

NAMES = [
    "requests.OUTCOME",
    "request_duration",
    "time_to_first_token.BIN",
    "requests_in_progress",
    "retries",
    "refused.CODE",
]


class TestMetrics(testtools.TestCase):
    def test_the_names_do_not_change(self):
        # Operators' dashboards depend on these names.
        self.assertEqual(NAMES, [m.name for m in metrics.METRICS])

    def test_length_bins(self):
        found = [
            length_bins.length_bin(n)
            for n in (4_000, 4_001, 32_000, 100_000, 100_001)
        ]
        expected = ["up_to_4k", "up_to_32k", "up_to_32k", "up_to_100k"]
        self.assertEqual([*expected, "above_100k"], found)

    def test_no_host_sends_nothing(self):
        reported = metrics.Metrics(settings.MetricsSection())
        reported.count_request("ok", 1.0)
        reported.set_in_progress(1)
        reported.close()

    def test_a_host_that_cannot_be_resolved_is_reported(self):
        section = settings.MetricsSection(statsd_host="256.0.0.1")
        with self.assertRaises(exceptions.InvalidInputError) as caught:
            metrics.Metrics(section)
        self.assertIn("metrics.statsd_host", str(caught.exception))


class TestNodeMetrics(single_node.SingleNodeTest):
    @classmethod
    def setUpClass(cls):
        cls.receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        cls.addClassCleanup(cls.receiver.close)
        cls.receiver.bind(("127.0.0.1", 0))
        cls.receiver.settimeout(60)
        port = cls.receiver.getsockname()[1]
        cls.settings = {
            "metrics": {"statsd_host": "127.0.0.1", "statsd_port": port}
        }
        super().setUpClass()

    def receive_until(self, expected):
        found = {}
        while not expected <= found.keys():
            line = self.receiver.recv(1000).decode()
            name, _, value = line.partition(":")
            found[name] = value
        return found

    def test_a_node_sends_the_outcomes_of_requests(self):
        body = {"model": "quill", "prompt": "x", "max_tokens": 2}
        self.request(body)
        found = self.receive_until(
            {
                "fireflyspur.requests.ok",
                "fireflyspur.request_duration",
                "fireflyspur.time_to_first_token.up_to_4k",
                "fireflyspur.requests_in_progress",
            }
        )
        self.assertEqual("1|c", found["fireflyspur.requests.ok"])
        self.request({**body, "model": "none"})
        self.receive_until(
            {
                "fireflyspur.requests.refused",
                "fireflyspur.refused.model_not_found",
            }
        )
