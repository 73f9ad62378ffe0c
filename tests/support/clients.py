"""Clients that record what they sent and got."""

import http.client
import json
import threading
import time
from typing import Any
import uuid

from fireflyspur.standins import token_source
from tests.support import history as histories
from tests.support import records


def uuid7() -> str:
    """Return a UUID of version 7 for the present time."""
    value = (int(time.time() * 1000) << 80) | (
        uuid.uuid4().int & (1 << 80) - 1
    )
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def expected_text(prompt: str, tokens: int) -> str:
    """Return the whole answer that the engine stand-in gives."""
    return "".join(
        token_source.token_text("quill", "", prompt, i) for i in range(tokens)
    )


class Clients:
    """Sends requests in threads of their own.

    :param history: takes the events
    """

    def __init__(self, history: histories.History) -> None:
        self._history = history
        self._threads: list[threading.Thread] = []
        self._texts: dict[str, list[str]] = {}

    def join(self, timeout_s: float) -> None:
        """Wait until all requests have ended."""
        deadline = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))

    def tokens(self, request: str) -> int:
        """Return how many tokens a streamed prompt has got."""
        return len(self._texts.get(request, ()))

    def send_prompt(
        self,
        name: str,
        node: str,
        port: int,
        prompt: str,
        tokens: int,
        timeout_s: float = 60.0,
        key: str = records.KEY,
    ) -> None:
        """Send a streamed prompt."""
        self._texts[name] = []
        self._history.add(
            histories.Invoked(
                time.monotonic(),
                name,
                "prompt",
                node,
                expected=expected_text(prompt, tokens),
                timeout_s=timeout_s,
            )
        )
        body = {
            "model": "quill",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
        self._start(
            name, port, "POST", "/v1/completions", body, {}, timeout_s, key
        )

    def send_call(
        self,
        name: str,
        node: str,
        port: int,
        service: str,
        idempotency_key: str,
        body: Any,
        timeout_s: float = 60.0,
    ) -> None:
        """Send a call that may not be repeated."""
        self._history.add(
            histories.Invoked(
                time.monotonic(),
                name,
                "call",
                node,
                key=idempotency_key,
                timeout_s=timeout_s,
            )
        )
        headers = {
            "Idempotency-Key": idempotency_key,
            "X-Client-Request": name,
        }
        self._start(
            name,
            port,
            "POST",
            f"/services/{service}/book",
            body,
            headers,
            timeout_s,
            records.KEY,
        )

    def _start(self, name: str, *arguments: Any) -> None:
        thread = threading.Thread(
            target=self._run, args=(name, *arguments), daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def _run(
        self,
        name: str,
        port: int,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
        timeout_s: float,
        key: str,
    ) -> None:
        # The socket waits longer than any promise, so that a late answer is
        # seen as late and not as cut.
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=timeout_s + 60
        )
        try:
            connection.request(
                method,
                path,
                json.dumps(body),
                {
                    "Authorization": f"Bearer {key}",
                    "Request-Timeout": str(timeout_s),
                    "Content-Type": "application/json",
                    **headers,
                },
            )
            answer = self._read(name, connection.getresponse())
        except (OSError, http.client.HTTPException):
            answer = histories.Answered(
                time.monotonic(), name, 0, text="".join(self._text(name))
            )
        finally:
            connection.close()
        self._history.add(answer)

    def _text(self, name: str) -> list[str]:
        return self._texts.setdefault(name, [])

    def _read(
        self, name: str, response: http.client.HTTPResponse
    ) -> histories.Answered:
        if response.headers.get_content_type() == "text/event-stream":
            return self._read_events(name, response)
        body = response.read()
        error = {}
        try:
            value = json.loads(body)
            if isinstance(value, dict):
                error = value.get("error") or {}
        except ValueError:
            pass
        return histories.Answered(
            time.monotonic(),
            name,
            response.status,
            error.get("verdict", ""),
            error.get("code", ""),
            complete=response.status == 200,
            retry_after=response.headers.get("Retry-After", ""),
            replayed=response.headers.get("Idempotent-Replayed") == "true",
        )

    def _read_events(
        self, name: str, response: http.client.HTTPResponse
    ) -> histories.Answered:
        error: dict[str, Any] = {}
        complete = False
        for line in response:
            if not line.startswith(b"data: "):
                continue
            data = line[len(b"data: ") :].strip()
            if data == b"[DONE]":
                complete = True
                continue
            event = json.loads(data)
            error = event.get("error") or error
            for choice in event.get("choices", ()):
                if choice["text"]:
                    self._text(name).append(choice["text"])
        cut = not complete and not error
        return histories.Answered(
            time.monotonic(),
            name,
            0 if cut else response.status,
            error.get("verdict", ""),
            error.get("code", ""),
            "".join(self._text(name)),
            complete,
        )
