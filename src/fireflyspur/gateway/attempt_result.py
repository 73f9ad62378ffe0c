"""How one attempt at a request on an endpoint ended."""

import dataclasses

from fireflyspur.gateway import messages


@dataclasses.dataclass(frozen=True)
class Delivered:
    """The caller has the whole answer."""

    status: int


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Nothing was sent to any endpoint.

    :param instance: the endpoint that prevented it
    :param is_unreachable: whether it took no connection; else an engine of
        a group had no room
    """

    reason: str
    instance: str
    is_unreachable: bool


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The endpoint has not run the request and never will.

    :param is_full: whether it had no room, so that it is not at fault
    :param is_gone: whether another instance is at the address
    :param blamed: instance or address of another member of the group that
        is at fault
    """

    reason: str
    is_full: bool = False
    is_gone: bool = False
    blamed: str | None = None


@dataclasses.dataclass(frozen=True)
class Broken:
    """The endpoint may have run the request and its answer did not arrive.

    :param is_connection_lost: whether the connection ended, as in a crash
    :param blamed: instance of another member of the group that is at fault
    """

    reason: str
    is_connection_lost: bool
    blamed: str | None = None


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The endpoint answered with a failure of its own.

    :param body: body of the answer
    """

    head: messages.ResponseHead
    body: bytes


AttemptResult = Delivered | NotSent | NotRun | Broken | Rejected
