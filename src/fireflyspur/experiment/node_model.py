"""A node of an experiment: the real decisions, with news in virtual time."""

from collections.abc import Callable

from fireflyspur.experiment import policies
from fireflyspur.experiment import virtual_time
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import in_flight_reporter
from fireflyspur.gateway import in_flight_table
from fireflyspur.generated import fleet_news_pb2 as fleet_news

# News are collected and then take the network's delay.
_NEWS_DELAY_S = 0.002
# The list of endpoints never counts as interrupted here.
_OUTAGE_S = 1e9


class _Channel:
    """Collects news and hands them on after a delay."""

    def __init__(
        self,
        name: str,
        time: virtual_time.VirtualTime,
        send: Callable[[fleet_news.FleetNews], None],
    ) -> None:
        self._time = time
        self._send = send
        self._name = name
        self._draft = fleet_news.FleetNews(node=name)
        self._is_due = False

    @property
    def draft(self) -> fleet_news.FleetNews:
        """News that leave shortly; for adding to."""
        if not self._is_due:
            self._is_due = True
            self._time.call_later(_NEWS_DELAY_S, self._flush)
        return self._draft

    def _flush(self) -> None:
        self._is_due = False
        news, self._draft = self._draft, fleet_news.FleetNews(node=self._name)
        self._send(news)


class NodeModel:
    """What one node knows and how it decides.

    :param policy: name of the policy
    :param send: gives news to the other nodes
    """

    def __init__(
        self,
        name: str,
        policy: str,
        time: virtual_time.VirtualTime,
        send: Callable[["NodeModel", fleet_news.FleetNews], None],
    ) -> None:
        self.directory = endpoint_directory.EndpointDirectory(_OUTAGE_S, 0.0)
        self.book = in_flight_table.InFlightTable()
        channel = _Channel(name, time, lambda news: send(self, news))
        self.works = in_flight_reporter.InFlightReporter(
            name, self.book, channel
        )
        self.policy = policies.build(policy, self.directory, self.book)

    def take_news(self, news: fleet_news.FleetNews) -> None:
        """Enter what another node tells."""
        self.works.apply_update(news, is_restarted=False)
