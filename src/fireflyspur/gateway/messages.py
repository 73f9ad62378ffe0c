"""What the gateway reads from and writes to requests and answers."""

import abc
import dataclasses

from fireflyspur.gateway import address as addresses

# Names and values as they were received, in order.
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A whole request of a caller.

    :param target: path and query as sent
    :param received_at_s: when its last byte was read
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at_s: float

    @property
    def host(self) -> str:
        """Value of the Host header."""
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
    """What the headers of a caller's request say.

    :param attempt_id: names this attempt of the caller
    :param patience_s: how long the caller waits; None if it does not say
    :param prompt_tokens: tokens of the prompt, 0 if there is none
    :param max_output_tokens: most tokens of the answer
    :param last_event_id: event after which a stream goes on
    """

    attempt_id: str
    patience_s: float | None
    prompt_tokens: int
    max_output_tokens: int
    api_key: str | None
    last_event_id: str | None


@dataclasses.dataclass(frozen=True)
class Helper:
    """An endpoint that reads a part of a prompt.

    :param ticket: reservation there that keeps the part, or None
    """

    address: addresses.Address
    ticket: str | None = None


@dataclasses.dataclass(frozen=True)
class SendInfo:
    """What the gateway tells an endpoint about a request.

    :param remaining_s: time that is left for the answer
    :param instance: instance that must be at the address
    :param account: client account of the caller, if it has one
    :param priority: 0 is the most urgent, 9 the least
    :param last_event_id: event after which the stream goes on
    """

    remaining_s: float
    instance: str
    account: str | None
    priority: int
    last_event_id: str | None
    helpers: tuple[Helper, ...] = ()


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """Status and headers of an endpoint's answer."""

    status: int
    headers: Headers

    @property
    def is_success(self) -> bool:
        """Whether the status is a 2xx."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True)
class AnswerInfo:
    """What the headers of an endpoint's answer say.

    :param is_sealed: whether the endpoint vouches for the answer
    :param is_not_run: whether the endpoint says that it has not run and
        will not run the request
    :param attempt_id: the attempt that it answers, if named
    :param instance: instance that answered, if named
    :param blamed: instance or address of the member of a group that made
        it fail, if named
    :param is_encoded: whether the body is not the endpoint's own bytes
    """

    is_sealed: bool
    is_not_run: bool
    attempt_id: str | None
    instance: str | None
    blamed: str | None
    is_encoded: bool


class Codec(abc.ABC):
    """Reads and writes the headers of requests and answers."""

    @abc.abstractmethod
    def decode_request(self, headers: Headers) -> RequestInfo:
        """Read the headers of a caller's request."""

    @abc.abstractmethod
    def encode_request(self, headers: Headers, info: SendInfo) -> Headers:
        """Return the headers with which a request goes to an endpoint."""

    @abc.abstractmethod
    def decode_answer(self, head: AnswerHead) -> AnswerInfo:
        """Read the headers of an endpoint's answer."""
