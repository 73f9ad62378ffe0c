"""Chunks between a connection and its reader."""

import asyncio

import testtools

from fireflyspur.clients import chunk_buffer


class TestChunkBuffer(testtools.TestCase):
    def test_a_full_buffer_makes_the_connection_wait(self):
        """Guards against memory that grows while the caller does not read."""

        async def run():
            chunks = chunk_buffer.ChunkBuffer(4)
            self.assertIsNone(chunks.put(b"ab"))
            room = chunks.put(b"cd")
            self.assertFalse(room.done())
            self.assertEqual(b"ab", await chunks.get())
            await room
            self.assertEqual(b"cd", await chunks.get())
            chunks.end()
            self.assertIsNone(await chunks.get())

        asyncio.run(run())

    def test_a_discarded_buffer_holds_nothing(self):
        """Guards against a connection that waits for a reader that left."""

        async def run():
            chunks = chunk_buffer.ChunkBuffer(1)
            room = chunks.put(b"ab")
            chunks.discard()
            await room
            self.assertIsNone(chunks.put(b"cd"))
            self.assertEqual(0, chunks.unread_bytes)

        asyncio.run(run())
