"""Why requests were late, refused or failed, from the log of nodes."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import re

import msgspec

_ENDED = "Request ended"
_OK = 200
_LEFT = 0
_REFUSALS = (429, 503)
_FAILURES = (500, 502, 504)


class EndedRequest(msgspec.Struct, frozen=True):
    """The line on the end of a request.

    :param status: 0 if the caller left before the end
    :param first_ms: time to the first part of the answer
    :param predicted_ms: that time as it was predicted at the last choice
    """

    status: int
    message: str
    tokens: int = 0
    tried: list[str] = []
    reason: str | None = None
    first_ms: int | None = None
    gap_ms: int = 0
    predicted_ms: int | None = None


class _AnyLine(msgspec.Struct):
    message: str = ""


@dataclasses.dataclass(frozen=True)
class Aim:
    """What is on time for prompts up to a length.

    :param max_tokens: the longest prompt for which it holds
    :param gap_ms: longest pause; 0 if it is not bounded
    """

    max_tokens: int
    first_ms: int
    gap_ms: int


@dataclasses.dataclass(frozen=True)
class CauseCount:
    """How often a cause was met, for the prompts of one aim."""

    cause: str
    max_tokens: int
    count: int


_line_decoder = msgspec.json.Decoder(_AnyLine)
_ended_decoder = msgspec.json.Decoder(EndedRequest)


def read(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """Yield the ended requests of a log; other lines are passed over.

    What comes before the line's JSON, such as the name of a node, is
    ignored.
    """
    for line in lines:
        begin = line.find("{")
        if begin < 0 or _ENDED not in line:
            continue
        text = line[begin:]
        try:
            if _line_decoder.decode(text).message == _ENDED:
                yield _ended_decoder.decode(text)
        except msgspec.DecodeError:
            continue


def count(
    requests: Iterable[EndedRequest], aims: Sequence[Aim]
) -> tuple[CauseCount, ...]:
    """Count the causes, the most frequent first."""
    counts: collections.Counter[tuple[str, int]] = collections.Counter()
    ordered = sorted(aims, key=lambda aim: aim.max_tokens)
    for request in requests:
        aim = _aim_of(request, ordered)
        counts[cause_of(request, aim), aim.max_tokens] += 1
    found = [CauseCount(*key, number) for key, number in counts.items()]
    return tuple(
        sorted(
            found,
            key=lambda item: (-item.count, item.cause, item.max_tokens),
        )
    )


def cause_of(request: EndedRequest, aim: Aim) -> str:
    """Return why a request went as it did."""
    if request.status == _OK:
        return _cause_of_delay(request, aim)
    if request.status == _LEFT:
        part = "first part" if request.first_ms is None else "end"
        return f"caller left before the {part}"
    if request.status in _REFUSALS:
        return f"refused: {request.reason}"
    if request.status in _FAILURES:
        return f"failed: {_without_figures(request.reason)}"
    return f"status {request.status}"


def _cause_of_delay(request: EndedRequest, aim: Aim) -> str:
    retried = ", after a failed attempt" if len(request.tried) > 1 else ""
    if request.first_ms is not None and request.first_ms > aim.first_ms:
        predicted_ms = request.predicted_ms or 0
        if retried:
            return f"late first part{retried}"
        if predicted_ms > aim.first_ms:
            return "late first part, as predicted"
        return "late first part, not predicted"
    if aim.gap_ms and request.gap_ms > aim.gap_ms:
        return f"late pause{retried}"
    return "on time"


def _aim_of(request: EndedRequest, aims: Sequence[Aim]) -> Aim:
    for aim in aims:
        if request.tokens <= aim.max_tokens:
            return aim
    return aims[-1]


def _without_figures(reason: str | None) -> str:
    """Return a reason so that like ones are counted together."""
    return re.sub(r"\d[\d.]*", "N", reason or "status of the endpoint")
