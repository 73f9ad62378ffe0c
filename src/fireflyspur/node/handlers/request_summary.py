"""What the log line of a finished request says."""

from fireflyspur.errors import verdict


class RequestSummary:
    """Filled in by the handlers while a request goes on."""

    def __init__(self) -> None:
        self.account = ""
        self.model = ""
        self.verdict = str(verdict.Verdict.NOT_RUN)
        self.code = ""
        self.prompt_tokens = 0
        self.completion_tokens = 0
        # Attempts on engines after the first.
        self.retries = 0
        self.is_cancelled = False
