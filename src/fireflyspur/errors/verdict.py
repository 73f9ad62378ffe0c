"""What is known about the execution of a request."""

import enum


class Verdict(enum.StrEnum):
    """Says whether a request may have run.

    ``NOT_RUN`` is a promise for all time: no later delivery of the same
    attempt runs the request.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
