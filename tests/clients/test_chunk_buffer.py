"""Backpressure and discarding in the chunk buffer."""

import asyncio

import testtools

from fireflyspur.clients import chunk_buffer


class TestChunkBuffer(testtools.TestCase):
    def test_a_full_buffer_makes_the_connection_wait(self):
        """Guards against unbounded memory while the caller does not read."""

        async def run():
            chunks = chunk_buffer.ChunkBuffer(4)
            self.assertIsNone(chunks.put(b"ab"))
            drained = chunks.put(b"cd")
            self.assertFalse(drained.done())
            self.assertEqual(b"ab", await chunks.get())
            await drained
            self.assertEqual(b"cd", await chunks.get())
            chunks.end()
            self.assertIsNone(await chunks.get())

        asyncio.run(run())

    def test_a_discarded_buffer_is_empty(self):
        """Guards against a connection that waits for a reader that stopped."""

        async def run():
            chunks = chunk_buffer.ChunkBuffer(1)
            drained = chunks.put(b"ab")
            chunks.discard()
            await drained
            self.assertIsNone(chunks.put(b"cd"))
            self.assertEqual(0, chunks.unread_bytes)

        asyncio.run(run())
