"""Urgent updates between nodes."""

import dataclasses

from fireflyspur.engines import engine_crash
from fireflyspur.generated import peer_pb2
from fireflyspur.membership import member as members


@dataclasses.dataclass(frozen=True)
class EndpointLeaving:
    """An endpoint accepts no new requests.

    :param kind: ``engine`` or ``service``
    """

    kind: str
    name: str
    address: str
    port: int


@dataclasses.dataclass(frozen=True)
class MemberUpdate:
    """A member changed its state."""

    member: members.Member


UrgentUpdate = EndpointLeaving | MemberUpdate | engine_crash.EngineCrash


def to_message(
    update: UrgentUpdate, uid: str, lifetime_ms: int
) -> peer_pb2.News:
    """Return the protocol message."""
    message = peer_pb2.News(uid=uid, lifetime_ms=lifetime_ms)
    match update:
        case EndpointLeaving(kind, name, address, port):
            message.endpoint_leaving.CopyFrom(
                peer_pb2.EndpointLeaving(
                    kind=kind, name=name, address=address, port=port
                )
            )
        case MemberUpdate(member):
            message.member.CopyFrom(member.to_message())
        case engine_crash.EngineCrash(
            crash_uid, engine, incarnation, fingerprints
        ):
            message.engine_crash.CopyFrom(
                peer_pb2.EngineCrash(
                    uid=crash_uid,
                    engine=engine,
                    incarnation=incarnation,
                    fingerprints=fingerprints,
                )
            )
    return message


def from_message(message: peer_pb2.News) -> UrgentUpdate | None:
    """Return the update, or None if this version does not know its kind."""
    match message.WhichOneof("body"):
        case "endpoint_leaving":
            body = message.endpoint_leaving
            return EndpointLeaving(
                body.kind, body.name, body.address, body.port
            )
        case "member":
            member = members.from_message(message.member)
            return None if member is None else MemberUpdate(member)
        case "engine_crash":
            body = message.engine_crash
            return engine_crash.EngineCrash(
                body.uid,
                body.engine,
                body.incarnation,
                tuple(body.fingerprints),
            )
        case _:
            return None
