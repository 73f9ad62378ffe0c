"""Results of an experiment."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from fireflyspur.experiment import simulated_request
from fireflyspur.experiment import traffic

# Worth of a response that missed a target, as a share of its full worth.
_LATE_SHARE = 0.25
# Longer prompts of a kind are worth more, up to this factor.
_MAX_SIZE_FACTOR = 4.0
# Length of the windows for which the worth is reported.
_WINDOW_S = 2.0
# Windows whose possible worth is below this share of the mean are excluded.
_MIN_WINDOW_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class KindResult:
    """Outcomes of the requests of one kind.

    :param asked: number of requests
    :param on_time: complete responses that met their targets
    :param late: other complete responses
    :param unanswered: requests without a complete response
    """

    kind: str
    asked: int
    on_time: int
    late: int
    unanswered: int


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Outcomes of a run.

    :param worth: worth of the responses, as a share of the possible worth
    :param windows: this share in each window that was not nearly empty
    """

    pattern: str
    policy: str
    seed: int
    worth: float
    windows: tuple[float, ...]
    kinds: tuple[KindResult, ...]

    @property
    def worst_window(self) -> float:
        """Share of the possible worth in the worst window."""
        return min(self.windows)


def summarize(
    pattern: str,
    policy: str,
    seed: int,
    requests: Sequence[simulated_request.SimulatedRequest],
) -> RunResult:
    """Return the outcomes of a run, given its requests."""
    possible = sum(map(_possible, requests))
    return RunResult(
        pattern,
        policy,
        seed,
        sum(map(_earned, requests)) / possible,
        _windows(requests, possible),
        tuple(_kind(kind.name, requests) for kind in traffic.KINDS),
    )


def table_lines(results: Iterable[RunResult]) -> Iterable[str]:
    """Yield the outcomes as lines of a table."""
    yield (
        f"{'pattern':<14} {'policy':<13} {'seed':>4} {'worth':>6} "
        f"{'worst':>6}  on time of asked, unanswered"
    )
    for result in results:
        kinds = ", ".join(
            f"{k.kind} {k.on_time}/{k.asked} ({k.unanswered})"
            for k in result.kinds
        )
        yield (
            f"{result.pattern:<14} {result.policy:<13} {result.seed:>4} "
            f"{result.worth:>6.3f} {result.worst_window:>6.3f}  {kinds}"
        )


def _possible(request: simulated_request.SimulatedRequest) -> float:
    kind = request.arrival.kind
    size = request.arrival.prompt_tokens / kind.prompt_tokens
    return kind.worth * min(_MAX_SIZE_FACTOR, max(1.0, size))


def _earned(request: simulated_request.SimulatedRequest) -> float:
    if request.meets_targets:
        return _possible(request)
    return _possible(request) * _LATE_SHARE * request.is_complete


def _windows(
    requests: Sequence[simulated_request.SimulatedRequest], possible: float
) -> tuple[float, ...]:
    windows: dict[int, list[simulated_request.SimulatedRequest]] = {}
    for request in requests:
        number = int(request.arrival.at_s / _WINDOW_S)
        windows.setdefault(number, []).append(request)
    min_worth = _MIN_WINDOW_SHARE * possible / len(windows)
    return tuple(
        sum(map(_earned, windows[number]))
        / sum(map(_possible, windows[number]))
        for number in sorted(windows)
        if sum(map(_possible, windows[number])) >= min_worth
    )


def _kind(
    name: str, requests: Sequence[simulated_request.SimulatedRequest]
) -> KindResult:
    of_kind = [
        request for request in requests if request.arrival.kind.name == name
    ]
    completed = sum(request.is_complete for request in of_kind)
    on_time = sum(request.meets_targets for request in of_kind)
    return KindResult(
        name,
        len(of_kind),
        on_time,
        completed - on_time,
        len(of_kind) - completed,
    )
