"""What a run of an experiment was worth."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from fireflyspur.experiment import prompt_run
from fireflyspur.experiment import traffic

# A late answer is worth this share of one on time.
_LATE_SHARE = 0.25
# Long prompts of a kind are worth more, up to this factor.
_MAX_SIZE_FACTOR = 4.0
# Length of a window whose worth is reported.
_WINDOW_S = 2.0
# Windows with less to earn than this share of the mean are left out.
_MIN_WINDOW_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class KindResult:
    """Outcomes of the requests of one kind.

    :param on_time: answers without a late part
    :param late: other whole answers
    :param unanswered: requests that got no whole answer
    """

    kind: str
    asked: int
    on_time: int
    late: int
    unanswered: int


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Outcomes of a run.

    :param worth: share of what could be earned
    :param windows: that share in each window that was not nearly empty
    """

    pattern: str
    policy: str
    seed: int
    worth: float
    windows: tuple[float, ...]
    kinds: tuple[KindResult, ...]

    @property
    def worst_window(self) -> float:
        """The share that was earned in the worst window."""
        return min(self.windows)


def result_of(
    pattern: str,
    policy: str,
    seed: int,
    runs: Sequence[prompt_run.PromptRun],
) -> RunResult:
    """Return the outcomes of a run's requests."""
    possible = sum(map(_possible, runs))
    return RunResult(
        pattern,
        policy,
        seed,
        sum(map(_earned, runs)) / possible,
        _windows(runs, possible),
        tuple(_kind(kind.name, runs) for kind in traffic.KINDS),
    )


def lines_of(results: Iterable[RunResult]) -> Iterable[str]:
    """Return the outcomes as lines of a table."""
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


def _possible(run: prompt_run.PromptRun) -> float:
    kind = run.arrival.kind
    size = run.arrival.prompt_tokens / kind.prompt_tokens
    return kind.worth * min(_MAX_SIZE_FACTOR, max(1.0, size))


def _earned(run: prompt_run.PromptRun) -> float:
    if run.is_on_time:
        return _possible(run)
    return _possible(run) * _LATE_SHARE * run.is_ended


def _windows(
    runs: Sequence[prompt_run.PromptRun], possible: float
) -> tuple[float, ...]:
    windows: dict[int, list[prompt_run.PromptRun]] = {}
    for run in runs:
        number = int(run.arrival.at_s / _WINDOW_S)
        windows.setdefault(number, []).append(run)
    least = _MIN_WINDOW_SHARE * possible / len(windows)
    return tuple(
        sum(map(_earned, windows[number]))
        / sum(map(_possible, windows[number]))
        for number in sorted(windows)
        if sum(map(_possible, windows[number])) >= least
    )


def _kind(name: str, runs: Sequence[prompt_run.PromptRun]) -> KindResult:
    mine = [run for run in runs if run.arrival.kind.name == name]
    ended = sum(run.is_ended for run in mine)
    on_time = sum(run.is_on_time for run in mine)
    return KindResult(
        name, len(mine), on_time, ended - on_time, len(mine) - ended
    )
