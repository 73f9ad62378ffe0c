"""Estimate of cached prefixes."""

import testtools

from fireflyspur.routing import prefix_index


class TestPrefixIndex(testtools.TestCase):
    """Guards against wrong cached lengths and unbounded memory."""

    def digests(self, text, model="quill"):
        return prefix_index.digests(model, "", text)

    def test_finds_shared_prefix_to_within_a_fifth(self):
        index = prefix_index.PrefixIndex()
        shared = "a" * 50_000
        index.add("engine-1", self.digests(shared + "b" * 10_000))
        cached_bytes = index.cached_bytes(
            "engine-1", self.digests(shared + "c" * 10_000)
        )
        self.assertLessEqual(cached_bytes, 50_000)
        self.assertGreaterEqual(cached_bytes, 40_000)

    def test_ignores_prefixes_of_other_models_and_engines(self):
        index = prefix_index.PrefixIndex()
        index.add("engine-1", self.digests("a" * 5000))
        other = self.digests("a" * 5000, "other")
        self.assertEqual(0, index.cached_bytes("engine-1", other))
        self.assertEqual(
            0, index.cached_bytes("engine-2", self.digests("a" * 5000))
        )

    def test_oldest_prefixes_are_evicted(self):
        index = prefix_index.PrefixIndex(max_entries=10)
        first = self.digests("a" * 1024)
        index.add("engine-1", first)
        for i in range(20):
            index.add("engine-1", self.digests(f"{i:04}" * 256))
        self.assertEqual(0, index.cached_bytes("engine-1", first))
