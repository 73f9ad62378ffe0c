"""Sending of one request and reading of its response."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Any

import msgspec

from fireflyspur.claims import idempotency_key
from fireflyspur.generated import load_mix
from fireflyspur.load import exchange
from fireflyspur.load import plan
from fireflyspur.load import prompts

# Larger bodies are built off the event loop.
_LARGE_PROMPT_TOKENS = 50_000
# A node must respond within the timeout; what is later than this counts as a
# request that expired without a response.
_GRACE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request ended.

    :param code: ``ok``, the node's error code, ``incomplete`` for a response
        with too few tokens, ``no_answer`` or ``connection_lost``
    :param verdict: the node's verdict, empty without one
    :param ttft_s: real time to the first token, or None
    :param gaps_s: real times between tokens
    :param duration_s: real time from sending to the end
    """

    code: str
    verdict: str
    ttft_s: float | None
    gaps_s: list[float]
    duration_s: float

    @property
    def is_ok(self) -> bool:
        """Whether the whole response came."""
        return self.code == "ok"


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Error(msgspec.Struct):
    code: str = "unknown"
    verdict: str = ""


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    error: _Error | None = None


class _Response:
    """Reader of a streamed response."""

    def __init__(self) -> None:
        self.token_times: list[float] = []
        self.is_done = False
        self.error: _Error | None = None
        self.body = b""
        self._decoder = msgspec.json.Decoder(_Event)

    def append(self, chunk: bytes) -> None:
        """Take a chunk of a body that is no stream of events."""
        self.body += chunk

    def read(self, chunk: bytes) -> None:
        """Take a chunk; called as it arrives."""
        now = time.perf_counter()
        *events, self.body = (self.body + chunk).split(b"\n\n")
        for event in events:
            data = event.rpartition(b"data: ")[2]
            if data == b"[DONE]":
                self.is_done = True
                continue
            decoded = self._decoder.decode(data)
            self.error = decoded.error or self.error
            if any(c.finish_reason is None for c in decoded.choices):
                self.token_times.append(now)


class LoadClient:
    """Sends the requests of a plan.

    :param base_urls: entry points, used in turn
    :param mix: the mix that the plan was drawn from
    :param time_factor: how many times faster than real time the fleet runs
    :param run_name: name that makes the prompts unique
    """

    def __init__(
        self,
        base_urls: list[str],
        mix: load_mix.LoadMix,
        time_factor: float,
        run_name: str,
    ) -> None:
        self._base_urls = base_urls
        self._mix = mix
        self._time_factor = time_factor
        self._run_name = run_name

    async def send(self, arrival: plan.Arrival) -> Outcome:
        """Send one request and wait for its end."""
        if not arrival.bin_name:
            return await self._book(arrival)
        body = {
            "model": arrival.account.model,
            "adapter": arrival.account.adapter,
            "max_tokens": arrival.output_tokens,
            "stream": True,
        }
        if arrival.prompt_tokens >= _LARGE_PROMPT_TOKENS:
            encoded = await asyncio.to_thread(self._encode, body, arrival)
        else:
            encoded = self._encode(body, arrival)
        response = _Response()
        started = time.perf_counter()
        status = await self._exchange(
            arrival, "/v1/completions", encoded, {}, response.read
        )
        duration_s = time.perf_counter() - started
        code, verdict = _judge(status, response, arrival.output_tokens)
        times = response.token_times
        pairs = zip(times, times[1:], strict=False)
        return Outcome(
            code,
            verdict,
            times[0] - started if times else None,
            [later - earlier for earlier, later in pairs],
            duration_s,
        )

    async def _book(self, arrival: plan.Arrival) -> Outcome:
        encoded = msgspec.json.encode(
            {"run": self._run_name, "number": arrival.number}
        )
        headers = {"Idempotency-Key": idempotency_key.generate()}
        response = _Response()
        started = time.perf_counter()
        status = await self._exchange(
            arrival, self._mix.bookings.path, encoded, headers, response.append
        )
        duration_s = time.perf_counter() - started
        code, verdict = _judge(status, response, None)
        return Outcome(code, verdict, None, [], duration_s)

    def _encode(self, body: dict[str, Any], arrival: plan.Arrival) -> bytes:
        prompt = prompts.build(arrival, self._run_name)
        return msgspec.json.encode({**body, "prompt": prompt})

    async def _exchange(
        self,
        arrival: plan.Arrival,
        path: str,
        body: bytes,
        headers: dict[str, str],
        on_body: Callable[[bytes], None],
    ) -> int | None:
        """Return the status, 0 without one, None after the time limit."""
        url = self._base_urls[arrival.number % len(self._base_urls)]
        timeout_s = arrival.account.timeout_s / self._time_factor
        fields = {
            "Authorization": f"Bearer {arrival.account.key}",
            "Content-Type": "application/json",
            "Request-Timeout": f"{timeout_s:.3f}",
            **headers,
        }
        host = url.partition("://")[2]
        request = exchange.encode_request(path, host, fields, body)
        try:
            return await exchange.exchange(
                url, request, on_body, timeout_s + _GRACE_S
            )
        except TimeoutError:
            return None
        except OSError:
            return 0


def _judge(
    status: int | None, response: _Response, wanted_tokens: int | None
) -> tuple[str, str]:
    """Return the code and the verdict of a response.

    :param wanted_tokens: tokens of the whole response, None for a booking
    """
    if not status:
        return ("no_answer" if status is None else "connection_lost"), ""
    error = response.error
    if status >= 400:
        error = _read_error(response.body) or _Error(f"http_{status}")
    if error:
        return error.code, error.verdict
    if wanted_tokens is None:
        return "ok", ""
    is_whole = response.is_done and len(response.token_times) == wanted_tokens
    return ("ok" if is_whole else "incomplete"), ""


def _read_error(body: bytes) -> _Error | None:
    try:
        return msgspec.json.decode(body, type=_Event).error
    except msgspec.MsgspecError:
        return None
