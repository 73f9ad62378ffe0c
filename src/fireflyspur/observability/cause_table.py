"""Causes of delayed, refused and failed requests, from node logs."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import re

import msgspec

_ENDED = "Request ended"
_OK = 200
_DISCONNECTED = 0
_REFUSAL_STATUSES = (429, 503)
_FAILURE_STATUSES = (500, 502, 504)


class EndedRequest(msgspec.Struct, frozen=True):
    """The log line of a request that ended.

    :param status: 0 if the caller disconnected before the end
    :param first_ms: time to the first event or byte of the response
    :param predicted_ms: value of first_ms predicted at the last placement
    """

    status: int
    message: str
    tokens: int = 0
    tried: list[str] = []
    reason: str | None = None
    first_ms: int | None = None
    gap_ms: int = 0
    predicted_ms: int | None = None


class _LogLine(msgspec.Struct):
    message: str = ""


@dataclasses.dataclass(frozen=True)
class Target:
    """Latency target for prompts up to a length.

    :param max_tokens: maximum length of the prompt
    :param first_ms: maximum time to the first event or byte of the response
    :param gap_ms: maximum gap between events; 0 for no target
    """

    max_tokens: int
    first_ms: int
    gap_ms: int


@dataclasses.dataclass(frozen=True)
class CauseCount:
    """Number of requests with the same cause and target.

    :param max_tokens: maximum length of the target's prompts
    """

    cause: str
    max_tokens: int
    count: int


_line_decoder = msgspec.json.Decoder(_LogLine)
_ended_decoder = msgspec.json.Decoder(EndedRequest)


def read_requests(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """Yield the requests that ended from the lines of a log.

    Other lines are skipped. Text before the JSON of a line, such as the name
    of a node, is ignored.
    """
    for line in lines:
        start = line.find("{")
        if start < 0 or _ENDED not in line:
            continue
        text = line[start:]
        try:
            if _line_decoder.decode(text).message == _ENDED:
                yield _ended_decoder.decode(text)
        except msgspec.DecodeError:
            continue


def count_causes(
    requests: Iterable[EndedRequest], targets: Sequence[Target]
) -> tuple[CauseCount, ...]:
    """Count the causes and return the most frequent first."""
    counts: collections.Counter[tuple[str, int]] = collections.Counter()
    sorted_targets = sorted(targets, key=lambda target: target.max_tokens)
    for request in requests:
        target = _find_target(request, sorted_targets)
        counts[find_cause(request, target), target.max_tokens] += 1
    rows = [CauseCount(*key, count) for key, count in counts.items()]
    return tuple(
        sorted(
            rows,
            key=lambda row: (-row.count, row.cause, row.max_tokens),
        )
    )


def find_cause(request: EndedRequest, target: Target) -> str:
    """Return the cause of a request's outcome."""
    if request.status == _OK:
        return _find_delay_cause(request, target)
    if request.status == _DISCONNECTED:
        part = "first part" if request.first_ms is None else "end"
        return f"caller left before the {part}"
    if request.status in _REFUSAL_STATUSES:
        return f"refused: {request.reason}"
    if request.status in _FAILURE_STATUSES:
        return f"failed: {_mask_numbers(request.reason)}"
    return f"status {request.status}"


def _find_delay_cause(request: EndedRequest, target: Target) -> str:
    retried = ", after a failed attempt" if len(request.tried) > 1 else ""
    if request.first_ms is not None and request.first_ms > target.first_ms:
        predicted_ms = request.predicted_ms or 0
        if retried:
            return f"late first part{retried}"
        if predicted_ms > target.first_ms:
            return "late first part, as predicted"
        return "late first part, not predicted"
    if target.gap_ms and request.gap_ms > target.gap_ms:
        return f"late pause{retried}"
    return "on time"


def _find_target(request: EndedRequest, targets: Sequence[Target]) -> Target:
    for target in targets:
        if request.tokens <= target.max_tokens:
            return target
    return targets[-1]


def _mask_numbers(reason: str | None) -> str:
    """Replace numbers, so that similar reasons are counted together."""
    return re.sub(r"\d[\d.]*", "N", reason or "status of the endpoint")
