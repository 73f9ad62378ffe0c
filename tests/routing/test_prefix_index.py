"""The guess of cached prefixes."""

import testtools

from fireflyspur.routing import prefix_index


class TestPrefixIndex(testtools.TestCase):
    def digests(self, text, model="quill"):
        return prefix_index.digests(model, "", text)

    def test_finds_a_shared_prefix_to_within_a_fifth(self):
        index = prefix_index.PrefixIndex()
        shared = "a" * 50_000
        index.add("engine-1", self.digests(shared + "b" * 10_000))
        found = index.cached_bytes(
            "engine-1", self.digests(shared + "c" * 10_000)
        )
        self.assertLessEqual(found, 50_000)
        self.assertGreaterEqual(found, 40_000)

    def test_prefixes_of_another_model_or_engine_do_not_count(self):
        index = prefix_index.PrefixIndex()
        index.add("engine-1", self.digests("a" * 5000))
        other = self.digests("a" * 5000, "other")
        self.assertEqual(0, index.cached_bytes("engine-1", other))
        self.assertEqual(
            0, index.cached_bytes("engine-2", self.digests("a" * 5000))
        )

    def test_memory_is_bounded(self):
        index = prefix_index.PrefixIndex(max_entries=10)
        first = self.digests("a" * 1024)
        index.add("engine-1", first)
        for i in range(20):
            index.add("engine-1", self.digests(f"{i:04}" * 256))
        self.assertEqual(0, index.cached_bytes("engine-1", first))
