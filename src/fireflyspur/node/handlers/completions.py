"""Handlers of the completion endpoints."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import time

import msgspec
from tornado import iostream

from fireflyspur.admission import authenticator
from fireflyspur.clients import engine_client
from fireflyspur.engines import exceptions as engine_exceptions
from fireflyspur.engines import prompt_request
from fireflyspur.engines import quarantine
from fireflyspur.errors import exceptions
from fireflyspur.errors import verdict
from fireflyspur.generated import records
from fireflyspur.node.handlers import base
from fireflyspur.node.handlers import json_error_handler
from fireflyspur.node.handlers import openai_api
from fireflyspur.routing import exceptions as routing_exceptions
from fireflyspur.routing import prefix_index

# Running a call in a thread costs 0.06 ms; hashing this many characters
# costs 0.17 ms.
_HASH_IN_THREAD_CHARACTERS = 64 * 1024
# Events that are ready at the same time are flushed together up to this size.
_MAX_WRITE_BYTES = 16 * 1024
_MAX_LOGGED_MODEL_LENGTH = 80


class _PromptHandler(base.CallerHandler):
    """Runs a prompt and sends the response whole or as a stream."""

    body_type: type[openai_api.Body]
    _charged: prompt_request.PromptRequest | None = None
    _pending_flush: "asyncio.Future[None] | None" = None
    _unsent_bytes = 0
    _is_flush_scheduled = False

    async def post(self) -> None:
        """Run a prompt until it ends, times out or the caller disconnects."""
        account = self.account()
        timeout_s = self.timeout_s(account)
        body = await self.read_json(self.body_type)
        prompt = await self._admit(account, body, timeout_s)
        response = asyncio.ensure_future(self._run_prompt(body, prompt))
        disconnected = asyncio.ensure_future(self._disconnected.wait())
        try:
            async with asyncio.timeout_at(prompt.deadline):
                await asyncio.wait(
                    {response, disconnected},
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if response.done():
                    response.result()
        except TimeoutError:
            await _cancel(response)
            await self._report_error(
                engine_exceptions.DeadlineExceededError(
                    "the time limit passed",
                    verdict=verdict.Verdict.MAY_HAVE_RUN,
                )
            )
        except iostream.StreamClosedError:
            pass
        except exceptions.FireflyspurError as error:
            await self._report_error(error)
        except Exception as error:
            # Without an error event, the caller would take the truncated
            # stream for a complete response.
            self.log_exception(type(error), error, error.__traceback__)
            await self._report_error(error)
        finally:
            disconnected.cancel()
            await _cancel(response)

    async def _admit(
        self,
        account: authenticator.Account,
        body: openai_api.Body,
        timeout_s: float,
    ) -> prompt_request.PromptRequest:
        self._summary.model = body.model[:_MAX_LOGGED_MODEL_LENGTH]
        self._check_model(account, body)
        text = openai_api.prompt_of(body)
        per_token = self._node.settings.limits.prompt_bytes_per_token
        prompt = prompt_request.PromptRequest(
            request_id=self.request_id,
            account=account.name,
            model=body.model,
            adapter=body.adapter,
            prompt=text,
            prompt_tokens=max(1, round(len(text) / per_token)),
            max_tokens=openai_api.max_tokens_of(body),
            priority=account.spec.priority,
            deadline=self._received_at + timeout_s,
        )
        if len(text) < _HASH_IN_THREAD_CHARACTERS:
            prompt = _with_digests(prompt)
        else:
            prompt = await asyncio.to_thread(_with_digests, prompt)
        self._node.admission.check(prompt)
        self._node.limits.limiter.charge(account, prompt.max_total_tokens)
        self._charged = prompt
        return prompt

    def on_finish(self) -> None:
        """Refund the unused tokens of the request."""
        if self._charged is not None:
            self._settle(self._charged)
            self._charged = None
        super().on_finish()

    def _settle(self, prompt: prompt_request.PromptRequest) -> None:
        generated = self._summary.completion_tokens
        unused = prompt.max_total_tokens
        if generated:
            unused = prompt.max_tokens - generated
            self._node.admission.estimator.observe(
                prompt.account,
                generated,
                self._summary.verdict == verdict.Verdict.RAN,
            )
        self._node.limits.limiter.refund(prompt.account, unused)

    def _check_model(
        self, account: authenticator.Account, body: openai_api.Body
    ) -> None:
        catalog = self._node.follower.catalog
        allowed = account.spec.models
        if catalog.get("model", body.model) is None or (
            allowed is not None and body.model not in allowed
        ):
            raise routing_exceptions.ModelNotFoundError(
                f"the account has no model {body.model!r:.80}"
            )
        if not body.adapter:
            return
        entry = catalog.get("adapter", body.adapter)
        spec = entry.spec if entry else None
        if not isinstance(spec, records.AdapterSpec) or (
            spec.model != body.model
        ):
            raise routing_exceptions.ModelNotFoundError(
                f"model {body.model} has no adapter {body.adapter!r:.80}"
            )

    async def _run_prompt(
        self, body: openai_api.Body, prompt: prompt_request.PromptRequest
    ) -> None:
        async with contextlib.aclosing(self._node.runner.run(prompt)) as lines:
            observed = self._observe(prompt, lines)
            if body.stream:
                await self._send_stream(body, observed)
            else:
                await self._send_whole(body, observed)

    async def _observe(
        self,
        prompt: prompt_request.PromptRequest,
        lines: AsyncIterator[engine_client.StreamLine],
    ) -> AsyncIterator[engine_client.StreamLine]:
        """Yield the lines and update the summary and the metrics."""
        summary = self._summary
        summary.prompt_tokens = prompt.prompt_tokens
        summary.verdict = str(verdict.Verdict.MAY_HAVE_RUN)
        async for line in lines:
            summary.retries = max(summary.retries, line.attempt - 1)
            if line.type == "token":
                if not summary.completion_tokens:
                    self._node.metrics.observe_first_token(
                        prompt.prompt_tokens,
                        time.monotonic() - self._received_at,
                    )
                summary.completion_tokens += 1
            else:
                summary.verdict = str(verdict.Verdict.RAN)
            yield line

    async def _send_whole(
        self,
        body: openai_api.Body,
        lines: AsyncIterator[engine_client.StreamLine],
    ) -> None:
        parts = []
        async for line in lines:
            if line.type == "token":
                parts.append(line.text)
                continue
            response = openai_api.response_body(
                body, self.request_id, "".join(parts), line
            )
            self.set_header("Content-Type", "application/json")
            await self.finish(msgspec.json.encode(response))

    async def _send_stream(
        self,
        body: openai_api.Body,
        lines: AsyncIterator[engine_client.StreamLine],
    ) -> None:
        is_done = False
        events = openai_api.TokenEvents(body, self.request_id)
        async for line in lines:
            is_done = line.type == "done"
            await self._send_event(events.encode(line))
            if line.type == "done" and openai_api.wants_usage(body):
                usage = openai_api.usage_chunk(
                    body, self.request_id, line.usage
                )
                await self._send_event(msgspec.json.encode(usage))
        if not is_done:
            raise engine_exceptions.AttemptsExhaustedError(
                "the engine's stream has no closing line",
                verdict=verdict.Verdict.MAY_HAVE_RUN,
            )
        self.write(b"data: [DONE]\n\n")
        await self.finish()

    async def _send_event(self, event: bytes) -> None:
        """Send an event, together with others that are ready."""
        if self._pending_flush is not None:
            # Backpressure: wait for a caller that reads slowly.
            await self._pending_flush
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
        self.write(b"data: " + event + b"\n\n")
        self._unsent_bytes += len(event)
        if not self._headers_written or self._unsent_bytes > _MAX_WRITE_BYTES:
            self._flush_events()
        elif not self._is_flush_scheduled:
            # The callback runs when no further event is ready.
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_events)

    def _flush_events(self) -> None:
        self._is_flush_scheduled = False
        if self._unsent_bytes and not self._finished:
            self._unsent_bytes = 0
            self._pending_flush = self.flush()

    async def _report_error(self, error: Exception) -> None:
        """Report an error, as an event if the stream has started."""
        if not self._headers_written:
            raise error
        self.record_error(error)
        if self._finished:
            # The whole response was written, but the caller has not read it.
            return
        body = json_error_handler.error_body(error, self.request_id)
        with contextlib.suppress(iostream.StreamClosedError):
            # The openai client raises an exception for an event whose data
            # has the key "error"; other clients check the event's name.
            self.write(
                b"event: error\ndata: " + msgspec.json.encode(body) + b"\n\n"
            )
            await self.finish()


class CompletionsHandler(_PromptHandler):
    """``POST /v1/completions``."""

    body_type = openai_api.CompletionBody


class ChatCompletionsHandler(_PromptHandler):
    """``POST /v1/chat/completions``."""

    body_type = openai_api.ChatBody


def _with_digests(
    prompt: prompt_request.PromptRequest,
) -> prompt_request.PromptRequest:
    """Compute the digests for admission, routing and quarantine once."""
    return dataclasses.replace(
        prompt,
        fingerprint=quarantine.fingerprint_of(prompt),
        prefix_digests=prefix_index.digests(
            prompt.model, prompt.adapter, prompt.prompt
        ),
    )


async def _cancel(task: "asyncio.Task[None]") -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
