"""Histograms and counts of one run, in model time."""

import collections
from typing import Any

from fireflyspur.generated import load_mix
from fireflyspur.load import client
from fireflyspur.load import libraries
from fireflyspur.load import plan

_LOWEST_US = 1
_HIGHEST_US = 24 * 3600 * 1_000_000
_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 95.0, 99.0)
BOOKINGS = "bookings"


class Durations:
    """HDR histogram of durations.

    :param limit_s: longer ones are counted apart
    """

    def __init__(self, limit_s: float | None = None) -> None:
        histogram = libraries.load("hdrh.histogram")
        self.histogram = histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _DIGITS
        )
        self._limit_s = limit_s
        self._over = 0

    def add(self, seconds: float) -> None:
        """Record one duration."""
        micros = round(seconds * 1e6)
        self.histogram.record_value(min(max(micros, _LOWEST_US), _HIGHEST_US))
        if self._limit_s is not None and seconds > self._limit_s:
            self._over += 1

    def summary(self) -> dict[str, Any]:
        """Return count, percentiles and the share above the limit."""
        count = self.histogram.get_total_count()
        if not count:
            return {"count": 0}
        values = {
            f"p{percentile:g}_s": self.histogram.get_value_at_percentile(
                percentile
            )
            / 1e6
            for percentile in _PERCENTILES
        }
        values["max_s"] = self.histogram.get_max_value() / 1e6
        if self._limit_s is not None:
            values["over_limit"] = self._over / count
        return {"count": count, **values}


def _ratios(summary: dict[str, Any]) -> dict[str, Any]:
    """Return a summary of ratios, which have no unit."""
    return {key.removesuffix("_s"): value for key, value in summary.items()}


class _BinRecord:
    def __init__(self, mix: load_mix.LoadMix) -> None:
        self.sent = 0
        self.completed = 0
        self.ttft = Durations(mix.ttft_limit_s)
        self.peak_ttft = Durations(mix.ttft_limit_s)
        self.ttft_to_idle = Durations()
        self.gaps = Durations(mix.gap_limit_s)
        self.duration = Durations()


class Recorder:
    """What one run measured.

    :param mix: the mix
    :param time_factor: how many times faster than real time the fleet runs
    """

    def __init__(self, mix: load_mix.LoadMix, time_factor: float) -> None:
        self._mix = mix
        self._time_factor = time_factor
        names = [bin_.name for bin_ in mix.lengths]
        if mix.bookings.one_in:
            names.append(BOOKINGS)
        self.bins = {name: _BinRecord(mix) for name in names}
        self._failures: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._by_account: dict[str, collections.Counter[str]] = {
            account.name: collections.Counter() for account in mix.accounts
        }
        self._lateness = Durations()
        self._completed_in_window = 0
        self._prompt_tokens = 0
        self._output_tokens = 0

    def note_sent(self, arrival: plan.Arrival, late_s: float) -> None:
        """Note how late, in real seconds, the generator sent a request."""
        self._lateness.add(late_s)

    def note_end(
        self, arrival: plan.Arrival, outcome: client.Outcome, ended_s: float
    ) -> None:
        """Note the end of a request.

        Goodput counts what ends within the measured part; all else counts
        what arrives within it.

        :param ended_s: model time of the end
        """
        start_s = self._mix.warm_up_s
        if outcome.is_ok and start_s <= ended_s < start_s + (
            self._mix.duration_s
        ):
            self._completed_in_window += 1
            self._prompt_tokens += arrival.prompt_tokens
            self._output_tokens += arrival.output_tokens
        if arrival.at_s >= start_s:
            self._record(arrival, outcome)

    def _record(self, arrival: plan.Arrival, outcome: client.Outcome) -> None:
        record = self.bins[arrival.bin_name or BOOKINGS]
        record.sent += 1
        account = self._by_account[arrival.account.name]
        account["sent"] += 1
        if outcome.is_ok:
            record.completed += 1
            account["completed"] += 1
            record.duration.add(outcome.duration_s * self._time_factor)
        else:
            self._failures[outcome.code, outcome.verdict] += 1
        if outcome.ttft_s is not None:
            ttft_s = outcome.ttft_s * self._time_factor
            record.ttft.add(ttft_s)
            if arrival.is_peak:
                record.peak_ttft.add(ttft_s)
            idle_rate = self._mix.idle_prefill_tokens_per_s
            if idle_rate is not None and arrival.prompt_tokens:
                idle_s = arrival.prompt_tokens / idle_rate
                record.ttft_to_idle.add(ttft_s / idle_s)
        for gap_s in outcome.gaps_s:
            record.gaps.add(gap_s * self._time_factor)

    def summary(self) -> dict[str, Any]:
        """Return all results as plain values."""
        seconds = self._mix.duration_s
        return {
            "sent": sum(r.sent for r in self.bins.values()),
            "completed": sum(r.completed for r in self.bins.values()),
            "goodput": {
                "requests_per_s": self._completed_in_window / seconds,
                "prompt_tokens_per_s": self._prompt_tokens / seconds,
                "output_tokens_per_s": self._output_tokens / seconds,
            },
            "bins": {
                name: {
                    "sent": record.sent,
                    "completed": record.completed,
                    "ttft": record.ttft.summary(),
                    "peak_ttft": record.peak_ttft.summary(),
                    "ttft_to_idle": _ratios(record.ttft_to_idle.summary()),
                    "gap": record.gaps.summary(),
                    "duration": record.duration.summary(),
                }
                for name, record in self.bins.items()
            },
            "accounts": {k: dict(v) for k, v in self._by_account.items()},
            "failures": [
                {"code": code, "verdict": verdict, "count": count}
                for (code, verdict), count in self._failures.most_common()
            ],
            "generator_late": self._lateness.summary(),
        }
