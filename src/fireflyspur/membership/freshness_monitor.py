"""Detection of a stale configuration."""

import time

from fireflyspur.admission import exceptions
from fireflyspur.audit import audit_trail
from fireflyspur.membership import gossiper as gossipers
from fireflyspur.membership import member
from fireflyspur.membership import member_table
from fireflyspur.observability import logs
from fireflyspur.records import catalog_follower

CONFIG_STALE = "config_stale"

_RETRY_AFTER_S = 2.0
_NEVER = float("-inf")

_log = logs.log_for("freshness")


class FreshnessMonitor:
    """Decides whether the node may use its current configuration.

    It may if the log or a peer confirmed the configuration as the latest
    within the bound. After that it may only while the log is down for all
    nodes: no peer that responds can read the log, and more than half of the
    members are reachable.

    :param follower: reads the log
    :param table: the members
    :param gossiper: knows which members respond
    :param trail: records each change of the decision
    :param bound_s: maximum age of the configuration in seconds
    """

    def __init__(
        self,
        follower: catalog_follower.CatalogFollower,
        table: member_table.MemberTable,
        gossiper: gossipers.Gossiper,
        trail: audit_trail.AuditTrail,
        bound_s: float,
    ) -> None:
        self._follower = follower
        self._table = table
        self._gossiper = gossiper
        self._trail = trail
        self._bound_s = bound_s
        self._peer_fresh_at = _NEVER
        self._ahead: dict[str, float] = {}
        # Members that count for the majority. An isolated node removes all
        # others as dead. They still count until the node has had the latest
        # configuration after their removal. Otherwise the node would soon be
        # a majority of one.
        self._voters: set[str] = {table.own.name}
        self._departed: dict[str, float] = {}
        self._stale_reason = ""
        table.add_listener(self._watch_change)

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was known to be the latest."""
        return time.monotonic() - self._fresh_at()

    @property
    def reason(self) -> str:
        """``config_stale`` if the configuration may be stale, or empty."""
        return CONFIG_STALE if self._update() else ""

    @property
    def explanation(self) -> str:
        """Why the configuration may be stale, or empty if it is not."""
        return self._update()

    @property
    def voters(self) -> list[str]:
        """Members of which more than half must be reachable, sorted."""
        self._refresh_voters()
        return sorted(self._voters)

    @property
    def reachable_voters(self) -> list[str]:
        """Voters that respond to this node, sorted."""
        failing = self._gossiper.failing
        names = {
            m.name
            for m in self._table.members()
            if m.state is not member.MemberState.SUSPECT
            and m.name not in failing
        }
        return sorted(names & set(self.voters))

    def heartbeat(self) -> gossipers.Heartbeat:
        """Return this node's report on its configuration."""
        age_s = self.age_s
        self._refresh_voters()
        return gossipers.Heartbeat(
            self._follower.catalog.offset if self._follower.is_loaded else 0,
            age_s,
            # A read that hangs has not failed yet, but the age increases.
            self._follower.is_log_reachable and age_s <= self._bound_s,
        )

    def confirm(self, report: gossipers.PeerReport) -> None:
        """Adopt the age of a peer whose offset this node has reached."""
        self._ahead.pop(report.peer.name, None)
        fresh_at = report.sent_at - report.heartbeat.config_age_s
        self._peer_fresh_at = max(self._peer_fresh_at, fresh_at)

    def handle_report(self, report: gossipers.PeerReport) -> None:
        """Record a peer that is ahead of this node."""
        if report.heartbeat.config_offset > self._follower.catalog.offset:
            self._ahead[report.peer.name] = (
                report.sent_at - report.heartbeat.config_age_s
            )

    def remove_unlisted(self, listed: set[str]) -> None:
        """Remove departed members that the VM list no longer shows as live."""
        members = {m.name for m in self._table.members()}
        self._voters &= listed | members
        for name in self._departed.keys() - listed:
            del self._departed[name]

    def check(self) -> None:
        """Reject a request if the configuration may be stale.

        :raises NotAdmittingError: if it may be stale
        """
        explanation = self._update()
        if explanation:
            raise exceptions.NotAdmittingError(
                f"{CONFIG_STALE}: {explanation}", retry_after_s=_RETRY_AFTER_S
            )

    def _update(self) -> str:
        reason = self._find_reason()
        if bool(reason) != bool(self._stale_reason):
            action = "stopped_admitting" if reason else "resumed_admitting"
            detail = (
                reason or "the configuration is known to be the latest again"
            )
            self._trail.add("freshness", action, "requests", detail)
            _log.warning(
                "{}: {}", action.replace("_", " ").capitalize(), detail
            )
        self._stale_reason = reason
        return reason

    def _find_reason(self) -> str:
        if not self._follower.is_loaded or self.age_s <= self._bound_s:
            return ""
        limit = time.monotonic() - self._bound_s
        ahead = sorted(n for n, at in self._ahead.items() if at >= limit)
        if ahead:
            return (
                f"the configuration is {self.age_s:.1f} s old and"
                f" {ahead[0]} has a later one that could not be fetched"
            )
        reachable, total = len(self.reachable_voters), len(self._voters)
        if 2 * reachable > total and self._gossiper.most_probes_succeeded():
            return ""
        return (
            f"the log has not been read for {self.age_s:.1f} s and only"
            f" {reachable} of {total} members are reachable"
        )

    def _fresh_at(self) -> float:
        read_at = self._follower.tail_read_at
        return max(self._peer_fresh_at, _NEVER if read_at is None else read_at)

    def _refresh_voters(self) -> None:
        fresh_at = self._fresh_at()
        for name, at in list(self._departed.items()):
            if fresh_at > at:
                del self._departed[name]
                self._voters.discard(name)
        self._voters |= {m.name for m in self._table.members()}
        self._voters |= {
            m.name
            for m in self._table.candidates()
            if self._table.get(m.name) is None
        }

    def _watch_change(
        self, previous: member.Member | None, current: member.Member
    ) -> None:
        if current.state is not member.MemberState.DEAD:
            self._departed.pop(current.name, None)
            return
        self._ahead.pop(current.name, None)
        if (
            previous is not None
            and previous.state is member.MemberState.LEAVING
        ):
            self._voters.discard(current.name)
        else:
            self._departed[current.name] = time.monotonic()
