"""When it is the turn of a node to read the store for all nodes."""

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import evacuations as states
from fireflyspur.gateway.configuration import read_schedule
from fireflyspur.gateway.configuration import reader_rank
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.fleet import peer_table

TOPICS = ("config", "endpoints")

# Shares of the bounds: the age of the data at which a node reads the store
# itself, the additional age for each rank, and the age at which every node
# reads. The wait for a configuration ends before the share of the next rank.
_ENDPOINTS_SHARE = 0.38
_CONFIG_SHARE = 0.55
_RANK_SHARE = 0.08
_LAST_SHARE = 0.75
# The first nodes of all further pools have the same rank.
_MAX_POOL_RANK = 2


class ReadTurns:
    """Compares the age of what a node knows with its bounds, by topic.

    One node reads a topic for all; the others take over one after the other
    as the data grows old.

    :param name: name of this node
    :param holder: current configuration of this node
    :param directory: endpoints that this node knows
    :param peers: the other nodes
    :param evacuations: evacuations that this node knows
    :param schedule: tells whether this node reads in the place of others
    :param config_bound_s: time within which a new configuration is applied
    :param endpoints_bound_s: time after which a leaving endpoint no longer
        gets requests
    """

    def __init__(
        self,
        name: str,
        holder: config_holder.ConfigHolder,
        directory: endpoint_directory.EndpointDirectory,
        peers: peer_table.PeerTable,
        evacuations: states.Evacuations,
        schedule: read_schedule.ReadSchedule,
        config_bound_s: float,
        endpoints_bound_s: float,
    ) -> None:
        self._name = name
        self._holder = holder
        self._directory = directory
        self._peers = peers
        self._evacuations = evacuations
        self._schedule = schedule
        self._config_bound_s = config_bound_s
        self._endpoints_bound_s = endpoints_bound_s

    def set_bounds(
        self, config_bound_s: float, endpoints_bound_s: float
    ) -> None:
        """Set other bounds."""
        self._config_bound_s = config_bound_s
        self._endpoints_bound_s = endpoints_bound_s

    def bound_s(self, topic: str) -> float:
        """Return the time within which a change must be known."""
        if topic == "config":
            return self._config_bound_s
        return self._endpoints_bound_s

    def age_s(self, topic: str) -> float:
        """Return the age of the data; infinite before the first read."""
        if topic == "config":
            return self._holder.age_s()
        return self._directory.age_s()

    def read_at_s(self, topic: str) -> float:
        """Return when the data was read, by the clock of this node."""
        return clock.now_s() - self.age_s(topic)

    def is_late(self, topic: str) -> bool:
        """Return whether all of the first nodes have missed their turns."""
        return self.age_s(topic) >= _LAST_SHARE * self.bound_s(topic)

    def has_turn(self, topic: str) -> bool:
        """Return whether this node is among the first readers.

        The turns of all others come too late.
        """
        return self._turn_share(topic) < _LAST_SHARE

    def remaining_s(self, topic: str) -> float:
        """Return the time until this node must read the store itself."""
        share = min(self._turn_share(topic), _LAST_SHARE)
        remaining_s = share * self.bound_s(topic) - self.age_s(topic)
        if topic == "config":
            # A confirmed version says nothing of the evacuations.
            remaining_s = min(
                remaining_s, self._evacuations.remaining_s(self.rank(topic))
            )
        return remaining_s

    def rank(self, topic: str) -> int:
        """Return the rank of this node among the readers of a topic.

        The first node of the first pool reads for all. The first ones of
        other pools stand in for it before the other nodes of its pool do. A
        node that has read because all of these failed goes on in their place.
        """
        if self._schedule.is_reader(topic, self.read_at_s(topic)):
            return 0
        pools = self._peers.pools
        names = self._peers.live_names()
        rank = reader_rank.rank_of(self._name, names, topic)
        own, *others = (str(pool) for pool in (pools.own, *pools.others))
        pool_rank = reader_rank.rank_of(own, [own, *others], topic)
        return rank + min(pool_rank, _MAX_POOL_RANK)

    def _turn_share(self, topic: str) -> float:
        first = _CONFIG_SHARE if topic == "config" else _ENDPOINTS_SHARE
        return first + _RANK_SHARE * self.rank(topic)
