"""Results of an attempt at a request on an endpoint."""

import dataclasses

from fireflyspur.gateway.common import messages


@dataclasses.dataclass(frozen=True)
class Delivered:
    """The caller has received the whole response.

    :param is_confirmed: whether its framing shows that it is complete, and
        not only the end of the connection
    """

    status: int
    is_confirmed: bool


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Nothing was sent to any endpoint.

    :param instance: the endpoint that prevented it
    :param is_unreachable: whether it accepted no connection; otherwise, an
        engine of a group did not reserve memory
    """

    reason: str
    instance: str
    is_unreachable: bool


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The endpoint has not run the request and never will.

    :param is_fault: whether the refusal is a fault of the endpoint
    :param is_busy: whether the endpoint takes no more requests now
    :param is_replaced: whether another instance is now at the address
    :param failed_member: instance or address of the other group member that
        made the request fail, or None
    """

    reason: str
    is_fault: bool = False
    is_busy: bool = False
    is_replaced: bool = False
    failed_member: str | None = None


@dataclasses.dataclass(frozen=True)
class Broken:
    """The endpoint may have run the request; no valid response arrived.

    :param is_connection_lost: whether the connection ended, as after a crash
    :param failed_member: instance of the other group member that made the
        request fail, or None
    """

    reason: str
    is_connection_lost: bool
    failed_member: str | None = None


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The endpoint responded with an error of its own.

    :param body: body of the response
    """

    head: messages.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Overtaken:
    """Another attempt went on, so that the response was not used."""


AttemptResult = Delivered | NotSent | NotRun | Broken | Rejected | Overtaken
