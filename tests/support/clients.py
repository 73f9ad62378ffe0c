"""Clients that record what they sent and got."""

import contextlib
import dataclasses
import http.client
import itertools
import json
import socket
import threading
import time
from typing import Any

from fireflyspur.claims import idempotency_key
from fireflyspur.standins import token_source
from tests.support import history as histories
from tests.support import records

# Services record this header with each effect.
REQUEST_HEADER = "X-Client-Request"


def expected_text(prompt: str, tokens: int) -> str:
    """Return the whole answer that the engine stand-in gives."""
    return "".join(
        token_source.token_text("quill", "", prompt, i) for i in range(tokens)
    )


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests that are sent until the load is ended.

    :param tokens: length of the answers
    :param service: service that gets each second request, or empty
    :param pause_s: pause between an answer and the next request
    """

    name: str
    node: str
    port: int
    tokens: int = 20
    service: str = ""
    pause_s: float = 0.05
    threads: list[threading.Thread] = dataclasses.field(default_factory=list)
    ended: threading.Event = dataclasses.field(default_factory=threading.Event)


class Clients:
    """Sends requests in threads of their own.

    :param history: takes the events
    """

    def __init__(self, history: histories.History) -> None:
        self._history = history
        self._threads: list[threading.Thread] = []
        self._texts: dict[str, list[str]] = {}
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self._loads: dict[str, Load] = {}
        self._requests: dict[str, threading.Thread] = {}

    def join(self, timeout_s: float) -> None:
        """Wait until all requests have ended."""
        deadline = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))

    def disconnect(self, name: str) -> None:
        """Close the connection of a request, as a caller that is gone."""
        self._history.add(histories.CallerDisconnected(time.monotonic(), name))
        connection = self._connections.get(name)
        # Once it is answered, there is nothing to hang up.
        with contextlib.suppress(OSError, AttributeError):
            connection.sock.shutdown(socket.SHUT_RDWR)

    def start_load(self, load: "Load", workers: int) -> None:
        """Send requests in a closed loop of several clients.

        :param workers: clients that send one request after the other
        """
        self._loads[load.name] = load
        for number in range(workers):
            thread = threading.Thread(
                target=self._run_load, args=(load, number), daemon=True
            )
            load.threads.append(thread)
            self._threads.append(thread)
            thread.start()

    def end_load(self, name: str, timeout_s: float) -> None:
        """Send nothing more of a load, and wait for its last answers."""
        load = self._loads[name]
        load.ended.set()
        deadline = time.monotonic() + timeout_s
        for thread in load.threads:
            thread.join(max(0.0, deadline - time.monotonic()))

    def end_loads(self, timeout_s: float) -> None:
        """End all loads."""
        for name in self._loads:
            self.end_load(name, timeout_s)

    def _run_load(self, load: "Load", number: int) -> None:
        for count in itertools.count():
            name = f"{load.name}-{number}-{count}"
            if load.service and count % 2:
                self.send_call(
                    name,
                    load.node,
                    load.port,
                    load.service,
                    idempotency_key.generate(),
                    name,
                )
            else:
                prompt = f"{name} " * 40
                self.send_prompt(
                    name, load.node, load.port, prompt, load.tokens
                )
            self._requests.pop(name).join()
            if load.ended.wait(load.pause_s):
                return

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
            histories.RequestSent(
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
            histories.RequestSent(
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
            REQUEST_HEADER: name,
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
        self._requests[name] = thread
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
        self._connections[name] = connection
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
            answer = histories.ResponseReceived(
                time.monotonic(), name, 0, text="".join(self._text(name))
            )
        finally:
            connection.close()
        self._history.add(answer)

    def _text(self, name: str) -> list[str]:
        return self._texts.setdefault(name, [])

    def _read(
        self, name: str, response: http.client.HTTPResponse
    ) -> histories.ResponseReceived:
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
        return histories.ResponseReceived(
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
    ) -> histories.ResponseReceived:
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
        return histories.ResponseReceived(
            time.monotonic(),
            name,
            0 if cut else response.status,
            error.get("verdict", ""),
            error.get("code", ""),
            "".join(self._text(name)),
            complete,
        )
