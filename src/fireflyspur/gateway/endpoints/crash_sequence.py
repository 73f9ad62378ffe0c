"""Order of crashes that are attributed to the same cause."""

# What another node reports appears later by the time that it was under way,
# at most this. Times of this node are exact.
_REPORT_SLACK_S = 0.02
# Responses that one crash breaks off end within this time.
_SAME_CRASH_S = 0.02


def is_later(
    *,
    sent_at_s: float,
    broke_at_s: float,
    instance: str,
    last_crash_s: float,
    last_instance: str,
    is_reported: bool,
) -> bool:
    """Return whether a crash counts as another one than the last.

    It does not if its request was sent before the last crash, as then both
    endpoints may have ended for a reason of their own.

    :param sent_at_s: clock time when the request was sent to the endpoint
    :param broke_at_s: clock time when the response broke off
    :param instance: the endpoint that crashed
    :param last_crash_s: clock time of the last crash that counted
    :param last_instance: the endpoint that crashed then
    :param is_reported: whether another node reported one of the two
    """
    slack_s = _REPORT_SLACK_S if is_reported else 0.0
    if sent_at_s < last_crash_s - slack_s:
        return False
    is_same_time = broke_at_s < last_crash_s + _SAME_CRASH_S
    return not (is_same_time and instance == last_instance)
