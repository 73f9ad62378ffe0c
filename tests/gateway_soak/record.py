"""What callers, endpoints and faults of a soak saw and did."""

import dataclasses

# Bounds count from this long after a disruption, as the users define it.
STABILITY_S = 3.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an endpoint.

    :param has_run: False if the endpoint rejected it
    """

    attempt_id: str
    endpoint: str
    at_s: float
    has_run: bool


@dataclasses.dataclass(frozen=True)
class Result:
    """What a caller got for one request.

    :param status: 0 without an answer
    :param retry_after: value of the header, or None
    :param is_complete: whether the answer ended as its framing says
    :param has_given_up: whether the caller closed the connection itself
    """

    attempt_id: str
    route: str
    node: str
    key: str
    sent_at_s: float
    ended_at_s: float
    status: int = 0
    body: bytes = b""
    seal: str = ""
    retry_after: str | None = None
    is_complete: bool = False
    has_given_up: bool = False


@dataclasses.dataclass(frozen=True)
class Disruption:
    """A fault that excuses what it strikes while it lasts.

    :param target: name of a node or an endpoint, or ``store``
    """

    target: str
    kind: str
    begin_s: float
    end_s: float


@dataclasses.dataclass(frozen=True)
class Record:
    """All that happened in one run.

    :param drained: time at which each endpoint was listed as leaving
    :param withdrawn: time at which each key was withdrawn
    :param exits: exit code of each planned stop
    :param limits: rate that each limited endpoint names, and since when
    :param stalls: spans in which the callers themselves were held up, so that
        they can't tell when a response came
    """

    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    results: list[Result] = dataclasses.field(default_factory=list)
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    drained: dict[str, float] = dataclasses.field(default_factory=dict)
    withdrawn: dict[str, float] = dataclasses.field(default_factory=dict)
    exits: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    limits: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    stalls: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def was_stalled(self, begin_s: float, end_s: float) -> bool:
        """Return whether the callers were held up in a span of time."""
        return any(
            begin < end_s and end > begin_s for begin, end in self.stalls
        )

    def is_calm(self, begin_s: float, end_s: float, *targets: str) -> bool:
        """Return whether nothing has struck the targets for a while.

        :param begin_s: begin of the time that must be calm, including the
            time of stability before it
        """
        return not any(
            disruption.target in targets
            and disruption.begin_s < end_s
            and disruption.end_s > begin_s - STABILITY_S
            for disruption in self.disruptions
        )

    def was_struck(
        self, node: str, kind: str, begin_s: float, end_s: float
    ) -> bool:
        """Return whether a node met a kind of fault in a span of time."""
        return any(
            disruption.target == node
            and disruption.kind == kind
            and begin_s <= disruption.end_s
            and disruption.begin_s <= end_s
            for disruption in self.disruptions
        )
