"""Translation of HTTP headers."""

from fireflyspur.gateway import hop_headers
from fireflyspur.gateway import messages
from fireflyspur.platform import headers as names

_KEY_SCHEME = "token "
# Set by the node, whatever the caller sent.
_OWN = frozenset(
    name.lower()
    for name in (
        names.AUTHORIZATION,
        names.DEADLINE_MS,
        names.EXPECT_INSTANCE,
        names.HELPERS,
        names.LAST_EVENT_ID,
        names.PRIORITY,
        names.TENANT,
    )
)


class HeaderCodec(messages.Codec):
    """Reads and writes the platform's headers."""

    def decode_request(
        self, headers: messages.Headers
    ) -> messages.RequestInfo:
        """Read the headers of a caller's request."""
        values = _values(headers)
        prompt, output = _token_count(values.get(names.TOKEN_COUNT.lower()))
        deadline_ms = _number(values.get(names.DEADLINE_MS.lower()))
        return messages.RequestInfo(
            attempt_id=values.get(names.ATTEMPT_ID.lower(), ""),
            timeout_s=None if deadline_ms is None else deadline_ms / 1000,
            prompt_tokens=prompt,
            max_output_tokens=output,
            api_key=_api_key(values.get(names.AUTHORIZATION.lower(), "")),
            last_event_id=values.get(names.LAST_EVENT_ID.lower()),
        )

    def encode_request(
        self, headers: messages.Headers, info: messages.ForwardInfo
    ) -> messages.Headers:
        """Return the headers with which a request goes to an endpoint."""
        sent = [
            item
            for item in hop_headers.remove(headers)
            if item[0].lower() not in _OWN
        ]
        remaining_ms = int(info.remaining_s * 1000)
        sent.append((names.DEADLINE_MS, str(remaining_ms).encode()))
        sent.append((names.EXPECT_INSTANCE, info.instance.encode()))
        sent.append((names.PRIORITY, str(info.priority).encode()))
        if info.account is not None:
            sent.append((names.TENANT, info.account.encode()))
        if info.last_event_id is not None:
            sent.append((names.LAST_EVENT_ID, info.last_event_id.encode()))
        if info.helpers:
            sent.append((names.HELPERS, _helpers(info.helpers)))
        return sent

    def decode_response(
        self, head: messages.ResponseHead
    ) -> messages.ResponseInfo:
        """Read the headers of an endpoint's answer."""
        values = _values(head.headers)
        return messages.ResponseInfo(
            is_sealed=names.RESPONSE_SEAL.lower() in values,
            is_not_run=names.NOT_EXECUTED.lower() in values,
            attempt_id=values.get(names.ATTEMPT_ID.lower()),
            instance=values.get(names.INSTANCE_ID.lower()),
            failed_member=values.get(names.AT_SERVER.lower()),
            is_encoded=names.CONTENT_ENCODING.lower() in values,
        )


def _values(headers: messages.Headers) -> dict[bytes, str]:
    return {
        name.lower(): value.decode("latin-1").strip()
        for name, value in headers
    }


def _number(text: str | None) -> int | None:
    return int(text) if text and text.isdecimal() else None


def _token_count(text: str | None) -> tuple[int, int]:
    """Return the tokens of the prompt and the most of the answer."""
    prompt, _, output = (text or "").partition(",")
    return _number(prompt.strip()) or 0, _number(output.strip()) or 0


def _api_key(authorization: str) -> str | None:
    if not authorization.lower().startswith(_KEY_SCHEME):
        return None
    return authorization[len(_KEY_SCHEME) :].strip()


def _helpers(helpers: tuple[messages.Helper, ...]) -> bytes:
    entries = (
        f"{item.address}/{item.ticket}" if item.ticket else str(item.address)
        for item in helpers
    )
    return ",".join(entries).encode()
