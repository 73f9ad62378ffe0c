"""A prompt on its way through a node."""

import dataclasses

from fireflyspur.routing import prefix_index


@dataclasses.dataclass(frozen=True)
class PromptRequest:
    """An admitted prompt.

    :param request_id: identity given by the node
    :param account: name of the client account
    :param prompt_tokens: estimated length of the prompt
    :param fingerprint: what identifies the prompt under any request id;
        empty if it is not yet known
    :param prefix_digests: digests of the prompt's beginnings, or None
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
        """The most tokens that the prompt may use."""
        return self.prompt_tokens + self.max_tokens
