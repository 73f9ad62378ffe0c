"""Request to run a prompt."""

import dataclasses

from fireflyspur.routing import prefix_index


@dataclasses.dataclass(frozen=True)
class PromptRequest:
    """An admitted prompt.

    :param request_id: id assigned by the node
    :param account: name of the client account
    :param prompt_tokens: estimated length of the prompt
    :param max_tokens: maximum number of generated tokens
    :param fingerprint: digest that identifies the prompt regardless of the
        request id; empty if not computed yet
    :param prefix_digests: digests of the prompt's prefixes, or None
    :param priority: 0 is the most urgent
    :param deadline: monotonic time in seconds at which the request fails
    """

    request_id: str
    account: str
    model: str
    adapter: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    deadline: float
    fingerprint: str = ""
    prefix_digests: list[prefix_index.PrefixDigest] | None = None

    @property
    def max_total_tokens(self) -> int:
        """Maximum number of prompt and generated tokens."""
        return self.prompt_tokens + self.max_tokens
