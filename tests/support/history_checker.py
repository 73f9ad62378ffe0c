"""Decides from a history whether each promise of the fleet was kept.

Each rule returns one line for each event that breaks it, so that a run that
kept all promises gives no lines.
"""

import collections
from collections.abc import Iterator
import math

from tests.support import history as histories

# The stated targets.
LEAVING_BOUND_S = 3.0
CONFIG_BOUND_S = 5.0
# A client on a busy machine notes an answer later than it was sent.
CLIENT_DELAY_S = 5.0
# A refusal is due at once. A node may wait 30 s for a trial of a suspect, so
# only requests with a longer time limit show whether it was held back.
REFUSAL_SHARE = 0.75
_LONG_TIMEOUT_S = 60.0
_REFUSALS = (429, 503)


def check(history: histories.History) -> list[str]:
    """Return all violations in a history."""
    return [violation for rule in RULES for violation in rule(history)]


def ends_in_time(history: histories.History) -> Iterator[str]:
    """Every request finishes or fails within its time limit."""
    for sent in history.of_type(histories.RequestSent):
        answer = history.response(sent.request)
        if answer is None:
            yield f"ends_in_time: {sent.request} got no answer"
        elif answer.time > sent.time + sent.timeout_s + CLIENT_DELAY_S:
            late_s = answer.time - sent.time - sent.timeout_s
            yield f"ends_in_time: {sent.request} was {late_s:.1f} s late"


def frees_memory(history: histories.History) -> Iterator[str]:
    """No engine holds anything for a request that has ended."""
    for held in history.of_type(histories.HoldingLeft):
        yield f"frees_memory: {held.engine} still holds {held.holding}"


def refuses_at_once(history: histories.History) -> Iterator[str]:
    """A refusal comes long before the time limit, with a time to retry."""
    for sent in history.of_type(histories.RequestSent):
        answer = history.response(sent.request)
        if answer is None or answer.status not in _REFUSALS:
            continue
        if not answer.retry_after:
            yield f"refuses_at_once: {sent.request} got no Retry-After"
        after_s = answer.time - sent.time
        if (
            sent.timeout_s >= _LONG_TIMEOUT_S
            and after_s > REFUSAL_SHARE * sent.timeout_s
        ):
            yield (
                f"refuses_at_once: {sent.request} was refused after"
                f" {after_s:.0f} of {sent.timeout_s:.0f} s"
            )


def answers_are_true(history: histories.History) -> Iterator[str]:
    """A whole answer is the answer to the caller's own prompt."""
    for sent in history.of_type(histories.RequestSent):
        answer = history.response(sent.request)
        if sent.kind != "prompt" or answer is None:
            continue
        if answer.complete and answer.text != sent.expected:
            yield f"answers_are_true: {sent.request} got another answer"
        elif not sent.expected.startswith(answer.text):
            yield f"answers_are_true: {sent.request} got foreign tokens"


def not_run_is_true(history: histories.History) -> Iterator[str]:
    """A request that was reported as not run has no effect."""
    effects = history.of_type(histories.Effect)
    by_key = collections.defaultdict(list)
    for sent in history.of_type(histories.RequestSent):
        if sent.kind == "call":
            by_key[sent.key].append(sent.request)
    for answer in history.of_type(histories.ResponseReceived):
        if answer.verdict != "not_run":
            continue
        if any(effect.request == answer.request for effect in effects):
            yield f"not_run_is_true: {answer.request} ran"
    for key, requests in by_key.items():
        answers = [history.response(request) for request in requests]
        none_ran = all(a and a.verdict == "not_run" for a in answers)
        if none_ran and any(effect.key == key for effect in effects):
            yield f"not_run_is_true: key {key} ran"


def runs_at_most_once(history: histories.History) -> Iterator[str]:
    """A call that may not be repeated has at most one effect."""
    counts = collections.Counter(
        (e.service, e.key) for e in history.of_type(histories.Effect) if e.key
    )
    for (service, key), count in counts.items():
        if count > 1:
            yield f"runs_at_most_once: {service} ran {key} {count} times"


def success_means_effect(history: histories.History) -> Iterator[str]:
    """A call that was answered as done has its effect."""
    keys = {effect.key for effect in history.of_type(histories.Effect)}
    for sent in history.of_type(histories.RequestSent):
        answer = history.response(sent.request)
        if sent.kind != "call" or not sent.key or answer is None:
            continue
        if 200 <= answer.status < 300 and sent.key not in keys:
            yield f"success_means_effect: {sent.request} never ran"


def leaving_gets_no_work(history: histories.History) -> Iterator[str]:
    """A leaving endpoint gets no new work after a few seconds."""
    for sign in history.of_type(histories.LeavingSeen):
        for work in history.of_type(histories.WorkStarted):
            if work.endpoint != sign.endpoint:
                continue
            after_s = work.time - sign.time
            if after_s > LEAVING_BOUND_S:
                yield (
                    f"leaving_gets_no_work: {sign.endpoint} got work"
                    f" {after_s:.1f} s after it began to leave"
                )


def stops_cut_nothing(history: histories.History) -> Iterator[str]:
    """A graceful stop resets no connection of a request in progress."""
    stopped = {e.node: e.time for e in history.of_type(histories.GracefulStop)}
    hung_up = {
        e.request for e in history.of_type(histories.CallerDisconnected)
    }
    for sent in history.of_type(histories.RequestSent):
        answer = history.response(sent.request)
        if sent.node not in stopped or answer is None:
            continue
        was_down = any(
            start <= answer.time and sent.time <= end
            for start, end in _times_down(history, sent.node)
        )
        if sent.request in hung_up or was_down:
            continue
        if answer.status == 0 and sent.time <= stopped[sent.node]:
            yield f"stops_cut_nothing: {sent.request} was cut"


def _times_down(
    history: histories.History, process: str
) -> list[tuple[float, float]]:
    """Return the times from each kill of a process to its next start."""
    starts = [
        e.time
        for e in history.of_type(histories.Started)
        if e.process == process
    ]
    return [
        (e.time, min((at for at in starts if at > e.time), default=math.inf))
        for e in history.of_type(histories.Killed)
        if e.process == process
    ]


def config_never_reverts(history: histories.History) -> Iterator[str]:
    """A node's configuration never goes back to an older one."""
    last: dict[tuple[str, str], int] = {}
    for seen in history.of_type(histories.ConfigApplied):
        node = (seen.node, seen.incarnation)
        if seen.offset < last.get(node, 0):
            yield (
                f"config_never_reverts: {seen.node} went from offset"
                f" {last[node]} to {seen.offset}"
            )
        last[node] = seen.offset


def config_arrives_in_time(history: histories.History) -> Iterator[str]:
    """An accepted record is in force on every node within seconds."""
    seen = history.of_type(histories.ConfigApplied)
    for accepted in history.of_type(histories.ConfigAccepted):
        bound = accepted.time + CONFIG_BOUND_S
        for state in seen:
            if state.time > bound and state.offset < accepted.offset:
                yield (
                    f"config_arrives_in_time: {state.node} had offset"
                    f" {state.offset} {state.time - accepted.time:.1f} s"
                    f" after offset {accepted.offset} was accepted"
                )


RULES = (
    ends_in_time,
    refuses_at_once,
    frees_memory,
    answers_are_true,
    not_run_is_true,
    runs_at_most_once,
    success_means_effect,
    leaving_gets_no_work,
    stops_cut_nothing,
    config_never_reverts,
    config_arrives_in_time,
)
