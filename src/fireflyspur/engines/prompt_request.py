"""A prompt on its way through a node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptRequest:
    """An admitted prompt.

    :param request_id: identity given by the node
    :param account: name of the client account
    :param prompt_tokens: estimated length of the prompt
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

    @property
    def all_tokens(self) -> int:
        """The most tokens that the prompt may use."""
        return self.prompt_tokens + self.max_tokens
