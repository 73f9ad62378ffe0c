"""Hash chain over the blocks of a prompt.

Part of the engine's interface: a node that follows the cache events computes
the same chain to find out which prefix of a prompt is cached.
"""

import hashlib

BYTES_PER_TOKEN = 4
_DIGEST_BYTES = 8


def block_hashes(
    model: str, adapter: str, content: bytes, block_tokens: int
) -> list[str]:
    """Return the hashes of the whole blocks of a prompt, in order.

    Each hash covers the model, the adapter and all blocks up to its own.

    :param content: the prompt in UTF-8
    :param block_tokens: tokens in a block
    """
    size = block_tokens * BYTES_PER_TOKEN
    digest = _digest(f"{model}\0{adapter}".encode())
    hashes = []
    for start in range(0, len(content) - size + 1, size):
        digest = _digest(digest + content[start : start + size])
        hashes.append(digest.hex())
    return hashes


def fingerprint(content: bytes) -> str:
    """Return the name under which the statistics count a prompt."""
    return _digest(content).hex()


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
