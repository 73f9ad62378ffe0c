"""A node as the members know it."""

import dataclasses
import enum

from fireflyspur.generated import peer_pb2


class MemberState(enum.IntEnum):
    """State of a member; of two with one incarnation the higher holds."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


@dataclasses.dataclass(frozen=True)
class Member:
    """One member of the fleet.

    :param incarnation: start time of the process in milliseconds, raised by
        one for each refutation
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
        """Whether this statement is later than another about the member."""
        return (self.incarnation, self.state) > (
            other.incarnation,
            other.state,
        )

    def to_message(self) -> peer_pb2.Member:
        """Return the wire form."""
        return peer_pb2.Member(
            name=self.name,
            address=self.address,
            peer_port=self.peer_port,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            state=int(self.state),
        )


def from_message(message: peer_pb2.Member) -> Member | None:
    """Return the member of a message.

    :returns: the member, or None if the name or the state is not known to
        this version
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
