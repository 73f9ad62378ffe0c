"""Estimation of the number of tokens that a prompt generates."""

import math

# Few responses reach the maximum that the caller sets. Until an account has
# had responses, its prompts are assumed to generate at most this many tokens.
_INITIAL_TOKENS = 256
# Weight of a response in the moving average of its account.
_WEIGHT = 0.1
# Factor on the average, so that few responses exceed the estimate.
_MARGIN = 1.5


class OutputEstimator:
    """Estimates response lengths from each account's past responses."""

    def __init__(self) -> None:
        self._mean_tokens: dict[str, float] = {}

    def estimate(self, account: str, max_tokens: int) -> int:
        """Return the expected number of generated tokens.

        :param account: name of the account
        :param max_tokens: maximum that the caller set
        """
        mean = self._mean_tokens.get(account)
        expected = _INITIAL_TOKENS if mean is None else mean * _MARGIN
        return min(max_tokens, math.ceil(expected))

    def observe(self, account: str, tokens: int, is_finished: bool) -> None:
        """Update the estimate of an account with a response.

        :param tokens: tokens that were generated
        :param is_finished: False if the response was ended early by its
            deadline or its caller, so that it could have been longer
        """
        mean = self._mean_tokens.get(account)
        if not is_finished and tokens <= (mean or 0.0):
            return
        if mean is None:
            self._mean_tokens[account] = float(tokens)
        else:
            self._mean_tokens[account] = mean + _WEIGHT * (tokens - mean)
