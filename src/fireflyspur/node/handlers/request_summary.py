"""Summary of a request for its log line and metrics."""

from fireflyspur.errors import verdict


class RequestSummary:
    """Collects data on a request while it is handled."""

    def __init__(self) -> None:
        self.account = ""
        self.model = ""
        self.verdict = str(verdict.Verdict.NOT_RUN)
        self.code = ""
        self.prompt_tokens = 0
        self.completion_tokens = 0
        # Number of attempts on engines after the first.
        self.retries = 0
        self.is_cancelled = False
