"""Whether a request has been executed."""

import enum


class Verdict(enum.StrEnum):
    """Whether a request may have run.

    ``NOT_RUN`` is final: a later delivery of the same attempt does not run
    the request either.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
