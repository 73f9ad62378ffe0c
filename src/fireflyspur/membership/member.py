"""A member of the fleet and its state."""

import dataclasses
import enum

from fireflyspur.generated import peer_pb2


class MemberState(enum.IntEnum):
    """State of a member.

    Of two states with the same incarnation the higher one takes precedence.
    """

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True)
class Member:
    """A member of the fleet.

    :param incarnation: start time of the process in milliseconds, increased by
        one for each refutation of a suspicion
    """

    name: str
    address: str
    peer_port: int
    failure_domain: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def target(self) -> str:
        """The gRPC target."""
        return f"ipv4:{self.address}:{self.peer_port}"

    def supersedes(self, other: "Member") -> bool:
        """Whether this state takes precedence over another of the member."""
        return (self.incarnation, self.state) > (
            other.incarnation,
            other.state,
        )

    def to_message(self) -> peer_pb2.Member:
        """Return the protocol message."""
        return peer_pb2.Member(
            name=self.name,
            address=self.address,
            peer_port=self.peer_port,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            state=int(self.state),
        )


def from_message(message: peer_pb2.Member) -> Member | None:
    """Return the member in a protocol message.

    :returns: the member, or None if the name is missing or this version does
        not know the state
    """
    try:
        state = MemberState(message.state)
    except ValueError:
        return None
    if not message.name:
        return None
    return Member(
        message.name,
        message.address,
        message.peer_port,
        message.failure_domain,
        message.incarnation,
        state,
    )
