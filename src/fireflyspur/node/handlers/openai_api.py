"""Request and response bodies of the OpenAI-compatible API."""

import dataclasses
import time
from typing import Any

import msgspec

from fireflyspur.clients import engine_client
from fireflyspur.errors import exceptions

_DEFAULT_MAX_TOKENS = 16
_MAX_TOKENS_LIMIT = 1_000_000
# Replaces the text while the constant parts of an event are encoded.
_TEXT_PLACEHOLDER = "text"


@dataclasses.dataclass(frozen=True)
class StreamOptions:
    """Options of a streamed response."""

    include_usage: bool = False


@dataclasses.dataclass(frozen=True)
class CompletionBody:
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: str | list[str]
    max_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    adapter: str = ""


@dataclasses.dataclass(frozen=True)
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str | list[dict[str, Any]] | None = None


@dataclasses.dataclass(frozen=True)
class ChatBody:
    """Body of ``POST /v1/chat/completions``."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    adapter: str = ""


Body = CompletionBody | ChatBody


def prompt_of(body: Body) -> str:
    """Return the prompt to send to the engine.

    :raises InvalidInputError: if there is no text or more than one prompt
    """
    match body:
        case CompletionBody(prompt=str() as prompt):
            text = prompt
        case CompletionBody(prompt=[prompt]):
            text = prompt
        case CompletionBody():
            raise exceptions.InvalidInputError(
                f"prompt: expected one prompt, found {len(body.prompt)}"
            )
        case ChatBody():
            text = "\n".join(_message_text(m) for m in body.messages)
    if not text:
        raise exceptions.InvalidInputError("the prompt is empty")
    return text


def max_tokens_of(body: Body) -> int:
    """Return the maximum number of tokens to generate.

    :raises InvalidInputError: if the number is out of range
    """
    max_tokens = body.max_tokens
    if isinstance(body, ChatBody) and body.max_completion_tokens is not None:
        max_tokens = body.max_completion_tokens
    if max_tokens is None:
        return _DEFAULT_MAX_TOKENS
    if not 1 <= max_tokens <= _MAX_TOKENS_LIMIT:
        raise exceptions.InvalidInputError(
            f"max_tokens: expected 1 to {_MAX_TOKENS_LIMIT},"
            f" found {max_tokens}"
        )
    return max_tokens


def wants_usage(body: Body) -> bool:
    """Return whether a streamed response ends with the token counts."""
    return (
        body.stream_options is not None and body.stream_options.include_usage
    )


def chunk(
    body: Body, request_id: str, line: engine_client.StreamLine
) -> dict[str, Any]:
    """Return an event of a streamed response."""
    finish_reason = line.finish_reason or None
    match body:
        case CompletionBody():
            choice: dict[str, Any] = {"text": line.text}
            kind = "text_completion"
        case ChatBody():
            delta = {"content": line.text} if line.type == "token" else {}
            if line.type == "token" and line.index == 0:
                delta["role"] = "assistant"
            choice, kind = {"delta": delta}, "chat.completion.chunk"
    choice.update(index=0, finish_reason=finish_reason, logprobs=None)
    return _envelope(body, request_id, kind, [choice])


class TokenEvents:
    """Encodes the events of one streamed response.

    The token events of a response differ only in their text, so everything
    else is encoded once.

    :param body: the request
    :param request_id: ID of the request
    """

    def __init__(self, body: Body, request_id: str) -> None:
        self._body = body
        self._request_id = request_id
        self._prefix: bytes | None = None
        self._suffix = b""

    def encode(self, line: engine_client.StreamLine) -> bytes:
        """Return an event as JSON."""
        if line.type != "token" or line.index == 0:
            # The first token of a chat also carries the role.
            return msgspec.json.encode(
                chunk(self._body, self._request_id, line)
            )
        if self._prefix is None:
            sample = dataclasses.replace(line, text=_TEXT_PLACEHOLDER)
            event = chunk(self._body, self._request_id, sample)
            # No value from the caller follows the text, so the last match
            # is the placeholder.
            self._prefix, _, self._suffix = msgspec.json.encode(
                event
            ).rpartition(msgspec.json.encode(_TEXT_PLACEHOLDER))
        return self._prefix + msgspec.json.encode(line.text) + self._suffix


def usage_chunk(
    body: Body, request_id: str, usage: dict[str, int]
) -> dict[str, Any]:
    """Return the final event of a stream, with the token counts."""
    kind = "text_completion"
    if isinstance(body, ChatBody):
        kind = "chat.completion.chunk"
    return {**_envelope(body, request_id, kind, []), "usage": usage}


def response_body(
    body: Body,
    request_id: str,
    text: str,
    closing_line: engine_client.StreamLine,
) -> dict[str, Any]:
    """Return the body of a response that is not streamed."""
    match body:
        case CompletionBody():
            choice: dict[str, Any] = {"text": text}
            kind = "text_completion"
        case ChatBody():
            message = {"role": "assistant", "content": text, "refusal": None}
            choice, kind = {"message": message}, "chat.completion"
    choice.update(
        index=0, finish_reason=closing_line.finish_reason, logprobs=None
    )
    envelope = _envelope(body, request_id, kind, [choice])
    return {**envelope, "usage": closing_line.usage}


def _message_text(message: ChatMessage) -> str:
    match message.content:
        case str() as text:
            pass
        case None:
            text = ""
        case parts:
            text = "".join(_part_text(part) for part in parts)
    return f"{message.role}: {text}"


def _part_text(part: dict[str, Any]) -> str:
    if part.get("type") != "text" or not isinstance(part.get("text"), str):
        raise exceptions.InvalidInputError(
            "messages: only parts of type text are supported"
        )
    return part["text"]


def _envelope(
    body: Body, request_id: str, kind: str, choices: list[dict[str, Any]]
) -> dict[str, Any]:
    return {
        "id": request_id,
        "object": kind,
        "created": int(time.time()),
        "model": body.model,
        "choices": choices,
    }
