"""Estimate of how many tokens a prompt will generate."""

import math

# Callers name a bound that few answers reach, so until an account has had
# answers its prompts are taken to generate at most this many tokens.
_INITIAL_TOKENS = 256
_WEIGHT = 0.1
# The estimate is to be exceeded by few answers.
_MARGIN = 1.5


class OutputEstimator:
    """Learns the length of each client account's answers."""

    def __init__(self) -> None:
        self._mean_tokens: dict[str, float] = {}

    def estimate(self, account: str, max_tokens: int) -> int:
        """Return the number of tokens to plan for.

        :param account: name of the account
        :param max_tokens: the bound that the caller named
        """
        mean = self._mean_tokens.get(account)
        expected = _INITIAL_TOKENS if mean is None else mean * _MARGIN
        return min(max_tokens, math.ceil(expected))

    def observe(self, account: str, tokens: int, is_finished: bool) -> None:
        """Learn from an answer.

        :param tokens: tokens that were generated
        :param is_finished: False when the answer was cut by its deadline or
            its caller, so that its length is only known to be greater
        """
        mean = self._mean_tokens.get(account)
        if not is_finished and tokens <= (mean or 0.0):
            return
        if mean is None:
            self._mean_tokens[account] = float(tokens)
        else:
            self._mean_tokens[account] = mean + _WEIGHT * (tokens - mean)
