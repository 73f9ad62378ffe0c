"""Requests, responses and the information in their headers."""

import abc
import dataclasses

from fireflyspur.gateway.common import address as addresses

# Names and values in the order in which they were received.
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request of a caller with its whole body.

    :param target: path and query as received
    :param received_at_s: clock of this node when the last byte was read
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at_s: float

    @property
    def host(self) -> str:
        """The value of the Host header, or empty if there is none."""
        for name, value in self.headers:
            if name.lower() == b"host":
                return value.decode("latin-1")
        return ""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclasses.dataclass(frozen=True)
class RequestInfo:
    """Information in the headers of a caller's request.

    :param attempt_id: identifies this attempt of the caller
    :param timeout_s: how long the caller waits, or None if not given
    :param prompt_tokens: tokens of the prompt, 0 if there is none
    :param max_output_tokens: maximum number of tokens in the response
    :param api_key: API key of the caller, or None if not given
    :param last_event_id: event after which to resume the stream
    :param shared_parts: names of the parts of the prompt that other prompts
        may share, in order
    :param expects_version: whether the caller accepts only endpoints whose
        weights have a certain version
    """

    attempt_id: str
    timeout_s: float | None
    prompt_tokens: int
    max_output_tokens: int
    api_key: str | None
    last_event_id: str | None
    shared_parts: tuple[str, ...] = ()
    expects_version: bool = False


@dataclasses.dataclass(frozen=True)
class Helper:
    """An endpoint that prefills a part of a prompt.

    :param ticket: identifies the memory reserved there for the part, or None
    """

    address: addresses.Address
    ticket: str | None = None


@dataclasses.dataclass(frozen=True)
class ForwardInfo:
    """Information that the gateway adds to a request to an endpoint.

    :param remaining_s: time until the deadline of the request
    :param instance: instance that is expected at the address
    :param account: client account of the caller, or None
    :param priority: 0 is the most urgent, 9 the least
    :param last_event_id: event after which to resume the stream
    :param helpers: endpoints that prefill parts of the prompt
    """

    remaining_s: float
    instance: str
    account: str | None
    priority: int
    last_event_id: str | None
    helpers: tuple[Helper, ...] = ()


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an endpoint's response."""

    status: int
    headers: Headers

    @property
    def is_success(self) -> bool:
        """Whether the status is a 2xx."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True)
class EndpointNotice:
    """What an endpoint says of itself in a response.

    :param is_leaving: whether it leaves and wants no more requests
    :param is_leaving_invalid: whether it says so in a way that is not valid
    :param rate_limit: requests a second that it takes from all nodes
        together; None if it names no limit, or an invalid one
    :param is_rate_limit_invalid: whether it names a limit that cannot be used
    :param retry_after_s: time for which it wants no requests from this node;
        None if it names none, or an invalid one
    :param is_retry_after_invalid: whether it names a time that cannot be used
    """

    is_leaving: bool = False
    is_leaving_invalid: bool = False
    rate_limit: float | None = None
    is_rate_limit_invalid: bool = False
    retry_after_s: float | None = None
    is_retry_after_invalid: bool = False


@dataclasses.dataclass(frozen=True)
class ResponseInfo:
    """Information in the headers of an endpoint's response.

    :param is_sealed: whether a header proves that the endpoint itself sent
        the response
    :param is_not_run: whether the endpoint guarantees that it has not run
        and will not run the request
    :param attempt_id: attempt that the response belongs to, or None
    :param instance: instance that sent the response, or None
    :param failed_member: instance or address of the group member that made
        the request fail, or None
    :param is_encoded: whether the body has a content encoding, so that it
        is not the bytes that the endpoint produced
    :param notice: what the endpoint says of itself
    """

    is_sealed: bool
    is_not_run: bool
    attempt_id: str | None
    instance: str | None
    failed_member: str | None
    is_encoded: bool
    notice: EndpointNotice = EndpointNotice()


class Codec(abc.ABC):
    """Decodes and encodes the headers of requests and responses."""

    @abc.abstractmethod
    def decode_request(self, headers: Headers) -> RequestInfo:
        """Decode the headers of a caller's request."""

    @abc.abstractmethod
    def encode_request(self, headers: Headers, info: ForwardInfo) -> Headers:
        """Return the headers of the request to an endpoint.

        :param headers: headers of the caller's request
        """

    @abc.abstractmethod
    def decode_response(self, head: ResponseHead) -> ResponseInfo:
        """Decode the headers of an endpoint's response."""
