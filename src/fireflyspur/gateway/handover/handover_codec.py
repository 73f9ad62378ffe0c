"""What nodes say to one another of a request that is handed over."""

import msgspec

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.errors import verdict as verdicts
from fireflyspur.gateway.callers import hop_headers
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.handover import exceptions

# Bytes that the header of a handed over request may have.
MAX_INFO_BYTES = 8_192
_INFO = b"Fireflyspur-Handover"
_OUTCOME = b"Fireflyspur-Outcome"
_ENDPOINT = "endpoint"


class HandoverInfo(msgspec.Struct, frozen=True):
    """What a node knows of a request that it hands over.

    :param node: name of the node
    :param sent_at_s: clock of the node when it sent the request
    :param elapsed_s: time since it received the request
    :param version: configuration that it applied to the request
    :param tried: instances that the request was sent to
    :param last_event_id: event after which to resume the stream
    :param is_counted: whether another node counted it for the retry budget
    """

    node: str
    sent_at_s: float
    elapsed_s: float
    version: int
    tried: tuple[str, ...] = ()
    last_event_id: str | None = None
    is_counted: bool = False


class Outcome(msgspec.Struct, frozen=True):
    """Where the response to a handed over request comes from.

    :param instance: the endpoint that it comes from, or None
    :param verdict: whether the request may have run, if the other node itself
        responds
    """

    instance: str | None = None
    verdict: verdicts.Verdict = verdicts.Verdict.MAY_HAVE_RUN


_decoder = msgspec.json.Decoder(HandoverInfo)


def encode_request(
    headers: messages.Headers, info: HandoverInfo
) -> messages.Headers:
    """Return the headers of a request to another node."""
    kept = _without(hop_headers.remove(headers), _INFO)
    return [*kept, (_INFO, msgspec.json.encode(info))]


def decode_request(
    headers: messages.Headers,
) -> tuple[HandoverInfo, messages.Headers]:
    """Return what another node says, and the headers of the caller.

    :raises HandoverRefusedError: if it says nothing, or nothing valid
    """
    values = [value for name, value in headers if _is(name, _INFO)]
    if len(values) != 1 or len(values[0]) > MAX_INFO_BYTES:
        raise exceptions.HandoverRefusedError("no valid handover")
    try:
        info = _decoder.decode(values[0])
    except (msgspec.DecodeError, RecursionError) as error:
        raise exceptions.HandoverRefusedError(
            f"no valid handover: {error}"
        ) from error
    return info, _without(headers, _INFO)


def mark_endpoint(
    head: messages.ResponseHead, instance: str
) -> messages.ResponseHead:
    """Return the head of an endpoint's response for another node."""
    value = f"{_ENDPOINT} {instance}".encode()
    headers = [*_without(head.headers, _OUTCOME), (_OUTCOME, value)]
    return messages.ResponseHead(head.status, headers)


def error_headers(error: base_exceptions.FireflyspurError) -> messages.Headers:
    """Return the headers that say what an error of this node means."""
    return [(_OUTCOME, error.verdict.value.encode())]


def decode_outcome(
    head: messages.ResponseHead,
) -> tuple[Outcome, messages.ResponseHead] | None:
    """Return what another node says of its response, and the rest of it.

    :returns: None if it is not the response of a node
    """
    values = [v.decode("latin-1") for n, v in head.headers if _is(n, _OUTCOME)]
    if len(values) != 1:
        return None
    rest = messages.ResponseHead(head.status, _without(head.headers, _OUTCOME))
    source, _, instance = values[0].partition(" ")
    if source == _ENDPOINT:
        return Outcome(instance=instance), rest
    if source not in set(verdicts.Verdict):
        return None
    return Outcome(verdict=verdicts.Verdict(source)), rest


def _is(name: bytes, wanted: bytes) -> bool:
    return name.lower() == wanted.lower()


def _without(headers: messages.Headers, removed: bytes) -> messages.Headers:
    return [header for header in headers if not _is(header[0], removed)]
