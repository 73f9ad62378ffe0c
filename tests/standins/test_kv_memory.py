"""The block accounting of the engine stand-in, under random use."""

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.standins.engine import block_hashes
from fireflyspur.standins.engine import cache_events
from fireflyspur.standins.engine import kv_memory

_TOTAL = 12

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["allocate", "store", "release"]),
        strategies.integers(0, 3),
        strategies.integers(0, 8),
        strategies.integers(0, 4),
    ),
    max_size=60,
)


class TestKvMemory(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(_STEPS)
    def test_never_exceeds_its_bound_and_loses_no_block(self, steps):
        # Guards against blocks counted twice when streams share them.
        memory = kv_memory.KvMemory(_TOTAL, lambda kind, hashes: None)
        held = []
        for action, prompt, length, extra in steps:
            chain = [f"{prompt}-{number}" for number in range(length)]
            if action == "allocate":
                allocation = memory.allocate(length + extra, chain)
                if allocation:
                    held.append((allocation, chain))
            elif held and action == "store":
                memory.store(*held[prompt % len(held)])
            elif held:
                memory.release(held.pop(prompt % len(held))[0])
            shared = {k for a, _ in held for k in a.shared}
            private = sum(a.private for a, _ in held)
            self.assertEqual(len(shared) + private, memory.live)
            self.assertLessEqual(private + memory.cached, _TOTAL)
        for allocation, _ in held:
            memory.release(allocation)
        self.assertEqual(_TOTAL, memory.free)

    def test_evicts_the_end_of_a_prefix_first(self):
        # Guards against a cache whose remains nothing can match.
        memory = kv_memory.KvMemory(4, lambda kind, hashes: None)
        chain = ["a", "b", "c", "d"]
        allocation = memory.allocate(4, chain)
        memory.store(allocation, chain)
        memory.release(allocation)
        memory.release(memory.allocate(2, []))
        self.assertEqual(["a", "b"], memory.match(chain))


class TestBlockHashes(testtools.TestCase):
    def test_depend_on_all_before_them(self):
        # Guards against two prompts that share cached blocks by mistake.
        def hashes(content, model="quill", adapter=""):
            return block_hashes.block_hashes(model, adapter, content, 1)

        first = hashes(b"aaaabbbbcc")
        self.assertEqual(2, len(first))
        self.assertEqual(first[:1], hashes(b"aaaacccc")[:1])
        self.assertNotEqual(first[1], hashes(b"ccccbbbb")[1])
        self.assertNotEqual(first[0], hashes(b"aaaa", adapter="x")[0])
        self.assertNotEqual(first[0], hashes(b"aaaa", model="reed")[0])


class TestCacheEvents(testtools.TestCase):
    def test_lost_events_leave_gaps_in_the_numbers(self):
        events = cache_events.CacheEvents(0.0, 0.5, seed=1)
        for number in range(100):
            events.add("stored", [str(number)])
        numbers = [event["seq"] for event in events.after(10)]
        self.assertEqual(sorted(set(numbers)), numbers)
        self.assertGreater(numbers[0], 10)
        self.assertTrue(0 < len(numbers) < 90)
        for event in events.after(0):
            self.assertEqual([str(event["seq"] - 1)], event["hashes"])

    def test_late_events_are_not_shown(self):
        events = cache_events.CacheEvents(3600.0, 0.0, seed=1)
        events.add("stored", ["x"])
        self.assertEqual([], events.after(0))
