"""Arrivals, prompts and mix files of the load tool."""

import itertools
import pathlib
import tempfile
import uuid

import msgspec
import testtools

from fireflyspur.claims import idempotency_key
from fireflyspur.config import exceptions
from fireflyspur.generated import load_mix
from fireflyspur.load import comparison
from fireflyspur.load import mix_file
from fireflyspur.load import plan
from fireflyspur.load import prompts


def make_mix(**values):
    return msgspec.convert(
        {
            "requests_per_s": 50.0,
            "duration_s": 60.0,
            "warm_up_s": 0.0,
            "accounts": [{"name": "counter", "key": "k"}],
            "lengths": [
                {
                    "name": "short",
                    "min_tokens": 1000,
                    "max_tokens": 4000,
                    "prefixes": 2,
                }
            ],
            **values,
        },
        load_mix.LoadMix,
    )


class TestPlan(testtools.TestCase):
    def test_is_fixed_by_its_seed(self):
        # Guards against slices of a comparison with different arrivals.
        mix = make_mix()
        self.assertEqual(plan.make_plan(mix, 7), plan.make_plan(mix, 7))
        self.assertNotEqual(plan.make_plan(mix, 7), plan.make_plan(mix, 8))

    def test_arrivals_follow_the_rate_and_the_swing(self):
        # Guards against swings that change the order or leave gaps.
        mix = make_mix(swing={"low": 0.5, "high": 1.5})
        arrivals = plan.make_plan(mix, 1)
        times = [arrival.at_s for arrival in arrivals]
        self.assertEqual(sorted(times), times)
        self.assertTrue(1500 <= len(times) <= 4500)
        by_interval = [
            {a.is_peak for a in group}
            for _, group in itertools.groupby(
                arrivals, lambda a: a.at_s // mix.swing.interval_s
            )
        ]
        self.assertEqual(12, len(by_interval))
        self.assertTrue(all(len(kinds) == 1 for kinds in by_interval))

    def test_one_request_in_so_many_is_a_booking(self):
        mix = make_mix(bookings={"one_in": 5})
        arrivals = plan.make_plan(mix, 1)
        bookings = [a for a in arrivals if not a.bin_name]
        self.assertEqual(len(arrivals) // 5, len(bookings))

    def test_prompts_share_their_prefix_and_nothing_else(self):
        arrivals = [a for a in plan.make_plan(make_mix(), 1) if a.prefix == 0][
            :2
        ]
        texts = [prompts.build(a, "run-1") for a in arrivals]
        for arrival, text in zip(arrivals, texts, strict=True):
            self.assertEqual(arrival.prompt_tokens * 4, len(text))
        shared = 4 * min(a.prefix_tokens for a in arrivals)
        self.assertEqual(texts[0][:shared], texts[1][:shared])
        self.assertNotEqual(*(text[: shared + 4096] for text in texts))


class TestMixFile(testtools.TestCase):
    def test_names_what_is_wrong(self):
        # Guards against a typing error that silently changes the mix.
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, "mix.yaml")
        path.write_text(
            "requests_per_s: 1\nduration_s: 1\n"
            "accounts: [{name: a, key: k, lengths: [lnog]}]\n"
            "lengths: [{name: long, min_tokens: 9, max_tokens: 8}]\n"
        )
        error = self.assertRaises(
            exceptions.InvalidFileError, mix_file.load, str(path)
        )
        self.assertIn("long: min_tokens > max_tokens", str(error))
        self.assertIn("no bin 'lnog'", str(error))


class TestUuid(testtools.TestCase):
    def test_keys_of_bookings_have_version_7(self):
        # Services refuse keys of other versions.
        key = uuid.UUID(idempotency_key.generate())
        self.assertEqual((7, uuid.RFC_4122), (key.version, key.variant))


class TestRatios(testtools.TestCase):
    def result(self, label, seed, goodput):
        values = {"requests_per_s": goodput, "output_tokens_per_s": 0.0}
        return {"label": label, "seed": seed, "goodput": values, "bins": {}}

    def test_compares_slices_with_the_same_arrivals(self):
        results = [
            self.result("a", 1, 10.0),
            self.result("b", 1, 20.0),
            self.result("b", 2, 30.0),
            self.result("a", 2, 10.0),
        ]
        found = comparison.find_ratios(results, "a", "b")
        self.assertEqual(
            {
                "goodput requests/s": {
                    "median": 2.5,
                    "min": 2.0,
                    "max": 3.0,
                    "pairs": 2,
                }
            },
            found,
        )
