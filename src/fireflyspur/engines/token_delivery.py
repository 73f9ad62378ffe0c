"""In-order delivery of the tokens to the caller."""

import dataclasses

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions

# Maximum number of lines that are buffered while an earlier one is missing.
_MAX_BUFFERED = 16


class TokenDelivery:
    """Delivers each token of a request once and in order.

    :param request_id: id of the request
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._attempt = 0
        self._texts: list[str] = []
        self._buffered: dict[int, engine_client.StreamLine] = {}

    @property
    def count(self) -> int:
        """Number of delivered tokens."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """Text of the delivered tokens."""
        return "".join(self._texts)

    def start_attempt(self, attempt: int) -> None:
        """Accept only lines of this attempt from now on."""
        self._attempt = attempt
        self._buffered.clear()

    def accept(
        self, line: engine_client.StreamLine
    ) -> list[engine_client.StreamLine]:
        """Return the lines that can be delivered after this one.

        :raises EngineFailedError: if the line is an error of the attempt
        :raises EngineConnectionLostError: if tokens are missing
        """
        if (line.request_id, line.attempt) != (
            self._request_id,
            self._attempt,
        ):
            return []
        match line.type:
            case "error":
                raise exceptions.EngineFailedError(line.code)
            case "token":
                return self._accept_token(line)
            case "done" if self._buffered:
                raise exceptions.EngineConnectionLostError(
                    f"the stream ended without token {self.count}"
                )
            case "done":
                return [dataclasses.replace(line, usage=self._usage(line))]
        return []

    def _accept_token(
        self, line: engine_client.StreamLine
    ) -> list[engine_client.StreamLine]:
        if line.index < self.count:
            return []
        self._buffered[line.index] = line
        ready = []
        while next_line := self._buffered.pop(self.count, None):
            self._texts.append(next_line.text)
            ready.append(next_line)
        if len(self._buffered) > _MAX_BUFFERED:
            raise exceptions.EngineConnectionLostError(
                f"token {self.count} is missing"
            )
        return ready

    def _usage(self, line: engine_client.StreamLine) -> dict[str, int]:
        # An engine that continues the stream counts the tokens of earlier
        # attempts as part of the prompt.
        total = line.usage.get("total_tokens", self.count)
        return {
            "prompt_tokens": max(0, total - self.count),
            "completion_tokens": self.count,
            "total_tokens": max(total, self.count),
        }
