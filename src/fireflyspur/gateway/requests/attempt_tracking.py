"""Tracking of an attempt as in flight on its endpoints."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from fireflyspur.gateway.scheduling import in_flight_reporter
from fireflyspur.gateway.scheduling import placement as placements
from fireflyspur.gateway.scheduling import placement_cost


@contextlib.contextmanager
def track(
    tracker: in_flight_reporter.InFlightReporter,
    placement: placements.Placement,
    demand: placement_cost.Demand,
    remaining_s: float,
) -> Iterator[Callable[[], None]]:
    """Track a request as in flight on its endpoints within a context.

    :param remaining_s: time within which the request ends
    :returns: context manager that yields what to call at the start of the
        response, when the prompt has been read
    """
    members = 1 + len(placement.helpers)
    with contextlib.ExitStack() as stack:
        prefill_stack = stack.enter_context(contextlib.ExitStack())
        numbers = [
            stack.enter_context(
                tracker.track_primary(
                    placement.primary, demand, members, remaining_s
                )
            )
        ]
        for helper in placement.helpers:
            # A helper that stores a part of the prompt stays in use until the
            # end of the request.
            helper_stack = stack if helper.tokens else prefill_stack
            number = helper_stack.enter_context(
                tracker.track_helper(helper, demand, members, remaining_s)
            )
            numbers.append(number)

        def end_prefill() -> None:
            prefill_stack.close()
            for number in numbers:
                tracker.mark_prefilled(number, demand)

        yield end_prefill
