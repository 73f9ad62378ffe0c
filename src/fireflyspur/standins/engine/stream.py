"""A stream on the engine stand-in."""

import asyncio
import dataclasses
import enum
from typing import Any

from fireflyspur.standins.engine import block_hashes
from fireflyspur.standins.engine import kv_memory


@dataclasses.dataclass(frozen=True)
class Prompt:
    """A prompt as the engine counts it.

    :param tokens: its length
    :param hashes: hash chain of its blocks
    :param fingerprint: name under which the statistics count it
    """

    tokens: int
    hashes: list[str]
    fingerprint: str

    @classmethod
    def read(cls, body: dict[str, Any], block_tokens: int) -> "Prompt":
        """Count and hash the prompt of a request."""
        prompt = body["prompt"].encode()
        content = prompt + body.get("prefix", "").encode()
        hashes = block_hashes.block_hashes(
            body["model"], body.get("adapter", ""), content, block_tokens
        )
        tokens = max(1, len(content) // block_hashes.BYTES_PER_TOKEN)
        return cls(tokens, hashes, block_hashes.fingerprint(prompt))


class Phase(enum.Enum):
    """Where a stream is."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    ENDED = "ended"


class Stream:
    """One attempt at one request.

    :param body: the request
    :param prompt: its prompt, counted
    :param arrival: number that orders streams of the same priority
    """

    def __init__(
        self, body: dict[str, Any], prompt: Prompt, arrival: int
    ) -> None:
        self.body = body
        self.prompt = prompt
        self.phase = Phase.WAITING
        self.allocation = kv_memory.Allocation()
        self.prefilled = 0
        self.next_index: int = body.get("start_index", 0)
        self.lines: list[dict[str, Any]] = []
        self.texts: asyncio.Future[list[str]] | None = None
        self.searched_for: tuple[str, ...] | None = None
        self.was_cut = False
        self.delivered_at: float | None = None
        self.order = (body.get("priority", 5), arrival)
        self._changed = asyncio.Event()

    @property
    def key(self) -> tuple[str, int]:
        """Request id and attempt."""
        return self.body["request_id"], self.body["attempt"]

    @property
    def is_ended(self) -> bool:
        """Whether the last line is there."""
        return self.phase is Phase.ENDED

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens that still need prefill."""
        if self.is_ended:
            return 0
        return max(0, self.prompt.tokens - self.prefilled)

    @property
    def total_tokens(self) -> int:
        """Tokens that the whole stream holds at its end."""
        rest = self.body["max_tokens"] - self.body.get("start_index", 0)
        return self.prompt.tokens + max(0, rest)

    def add(self, line: dict[str, Any]) -> None:
        """Add a line and wake the readers."""
        request_id, attempt = self.key
        self.lines.append(
            {"request_id": request_id, "attempt": attempt, **line}
        )
        self.wake()

    def wake(self) -> None:
        """Wake the readers."""
        former, self._changed = self._changed, asyncio.Event()
        former.set()

    def end(self, line: dict[str, Any]) -> None:
        """Add the last line; the prompt is dropped, the lines are kept."""
        self.phase = Phase.ENDED
        self.body = {**self.body, "prompt": "", "prefix": ""}
        self.texts = None
        self.add(line)

    async def wait_beyond(self, count: int) -> None:
        """Wait until there are more lines than a number."""
        while len(self.lines) <= count:
            await self._changed.wait()
