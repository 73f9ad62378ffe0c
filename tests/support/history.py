"""History of a run: what clients, nodes, engines and services recorded."""

import dataclasses
import threading


@dataclasses.dataclass(frozen=True)
class RequestSent:
    """A client sent a request.

    :param request: name of the request in the run
    :param kind: ``prompt`` or ``call``
    :param key: idempotency key of a call, or empty
    :param node: node that it was sent to
    :param expected: the whole true answer of a prompt, or empty
    :param timeout_s: time limit of the request
    """

    time: float
    request: str
    kind: str
    node: str = ""
    key: str = ""
    expected: str = ""
    timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class ResponseReceived:
    """A client got the end of an answer, or lost the connection.

    :param status: HTTP status; 0 when the connection broke
    :param verdict: verdict of an error, or empty
    :param code: code of an error, or empty
    :param text: the answer's text
    :param complete: whether the answer looked whole
    """

    time: float
    request: str
    status: int
    verdict: str = ""
    code: str = ""
    text: str = ""
    complete: bool = False
    retry_after: str = ""
    replayed: bool = False


@dataclasses.dataclass(frozen=True)
class Effect:
    """A service ran a call.

    :param request: the request that ran, or empty if it is not known
    """

    time: float
    service: str
    key: str
    request: str = ""


@dataclasses.dataclass(frozen=True)
class HoldingLeft:
    """An engine still holds something at the end of the run."""

    engine: str
    holding: str


@dataclasses.dataclass(frozen=True)
class LeavingSeen:
    """The first sign that an endpoint is leaving reached a node."""

    time: float
    endpoint: str


@dataclasses.dataclass(frozen=True)
class WorkStarted:
    """An endpoint was given new work."""

    time: float
    endpoint: str


@dataclasses.dataclass(frozen=True)
class ConfigAccepted:
    """The log accepted a record."""

    time: float
    offset: int


@dataclasses.dataclass(frozen=True)
class ConfigApplied:
    """A node reported the offset that it has applied.

    :param incarnation: changes when the node's process is replaced
    """

    time: float
    node: str
    offset: int
    incarnation: str = ""


@dataclasses.dataclass(frozen=True)
class Killed:
    """A process was about to be killed."""

    time: float
    process: str


@dataclasses.dataclass(frozen=True)
class Started:
    """A process that was killed serves again."""

    time: float
    process: str


@dataclasses.dataclass(frozen=True)
class CallerDisconnected:
    """A caller closed the connection of its own request."""

    time: float
    request: str


@dataclasses.dataclass(frozen=True)
class GracefulStop:
    """A node was told to stop gracefully and ended."""

    time: float
    node: str


Event = (
    RequestSent
    | ResponseReceived
    | Effect
    | HoldingLeft
    | LeavingSeen
    | WorkStarted
    | ConfigAccepted
    | ConfigApplied
    | Killed
    | Started
    | CallerDisconnected
    | GracefulStop
)


class History:
    """Events of a run; clients add to it from their threads."""

    def __init__(self, events: tuple[Event, ...] = ()) -> None:
        self._lock = threading.Lock()
        self._events = list(events)

    @property
    def events(self) -> list[Event]:
        """The events in the order in which they were added."""
        with self._lock:
            return list(self._events)

    def add(self, event: Event) -> None:
        with self._lock:
            self._events.append(event)

    def of_type(self, event_type: type) -> list:
        return [e for e in self.events if isinstance(e, event_type)]

    def response(self, request: str) -> ResponseReceived | None:
        """Return the answer of a request, or None while there is none."""
        found = [
            a for a in self.of_type(ResponseReceived) if a.request == request
        ]
        return found[-1] if found else None
