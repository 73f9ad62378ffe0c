"""Encoding and decoding of the platform's HTTP headers."""

import re

from fireflyspur.gateway.callers import hop_headers
from fireflyspur.gateway.common import messages
from fireflyspur.platform import headers as header_names

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# Messages between nodes hold whole numbers of 32 bits.
_MAX_INT = 2**31 - 1
_API_KEY_SCHEME = "token "
_IS_LEAVING = "1"
# Prompts consist of a few parts.
_MAX_PARTS = 32
# Request headers of the caller that are not forwarded. The node sets some of
# them itself.
_NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        header_names.AUTHORIZATION,
        header_names.DEADLINE_MS,
        header_names.EXPECT_INSTANCE,
        header_names.HELPERS,
        header_names.LAST_EVENT_ID,
        header_names.PRIORITY,
        header_names.TENANT,
    )
)


class HeaderCodec(messages.Codec):
    """Decodes and encodes the platform's headers."""

    def decode_request(
        self, headers: messages.Headers
    ) -> messages.RequestInfo:
        """Decode the headers of a caller's request."""
        values = _decode_values(headers)
        prompt, output = _parse_token_count(
            values.get(header_names.TOKEN_COUNT.lower())
        )
        deadline_ms = _parse_int(values.get(header_names.DEADLINE_MS.lower()))
        return messages.RequestInfo(
            attempt_id=values.get(header_names.ATTEMPT_ID.lower(), ""),
            timeout_s=None if deadline_ms is None else deadline_ms / 1000,
            prompt_tokens=prompt,
            max_output_tokens=output,
            api_key=_parse_api_key(
                values.get(header_names.AUTHORIZATION.lower(), "")
            ),
            last_event_id=values.get(header_names.LAST_EVENT_ID.lower()),
            shared_parts=_parse_shared_parts(
                values.get(header_names.PROMPT_PREFIX.lower(), "")
            ),
            expects_version=header_names.EXPECT_VERSION.lower() in values,
        )

    def encode_request(
        self, headers: messages.Headers, info: messages.ForwardInfo
    ) -> messages.Headers:
        """Return the headers of the request to an endpoint."""
        sent = [
            header
            for header in hop_headers.remove(headers)
            if header[0].lower() not in _NOT_FORWARDED
        ]
        remaining_ms = int(info.remaining_s * 1000)
        sent.append((header_names.DEADLINE_MS, str(remaining_ms).encode()))
        sent.append((header_names.EXPECT_INSTANCE, info.instance.encode()))
        sent.append((header_names.PRIORITY, str(info.priority).encode()))
        if info.account is not None:
            sent.append((header_names.TENANT, info.account.encode()))
        if info.last_event_id is not None:
            sent.append(
                (header_names.LAST_EVENT_ID, info.last_event_id.encode())
            )
        if info.helpers:
            sent.append((header_names.HELPERS, _encode_helpers(info.helpers)))
        return sent

    def decode_response(
        self, head: messages.ResponseHead
    ) -> messages.ResponseInfo:
        """Decode the headers of an endpoint's response."""
        values = _decode_values(head.headers)
        return messages.ResponseInfo(
            is_sealed=header_names.RESPONSE_SEAL.lower() in values,
            is_not_run=header_names.NOT_EXECUTED.lower() in values,
            attempt_id=values.get(header_names.ATTEMPT_ID.lower()),
            instance=values.get(header_names.INSTANCE_ID.lower()),
            failed_member=values.get(header_names.AT_SERVER.lower()),
            is_encoded=header_names.CONTENT_ENCODING.lower() in values,
            notice=_decode_notice(head.headers),
        )


def _decode_notice(headers: messages.Headers) -> messages.EndpointNotice:
    leaving = _find_all(headers, header_names.SERVER_LEAVING)
    limits = _find_all(headers, header_names.SERVER_LIMIT)
    pauses = _find_all(headers, header_names.RETRY_AFTER)
    is_leaving = _IS_LEAVING in leaving
    rate_limit = _parse_only(limits)
    retry_after_s = _parse_only(pauses)
    return messages.EndpointNotice(
        is_leaving=is_leaving,
        is_leaving_invalid=bool(leaving) and not is_leaving,
        rate_limit=rate_limit,
        is_rate_limit_invalid=bool(limits) and rate_limit is None,
        retry_after_s=retry_after_s,
        is_retry_after_invalid=bool(pauses) and retry_after_s is None,
    )


def _find_all(headers: messages.Headers, header_name: bytes) -> list[str]:
    return [
        value.decode("latin-1").strip()
        for name, value in headers
        if name.lower() == header_name.lower()
    ]


def _parse_only(values: list[str]) -> float | None:
    """Return the number of a header; None if it is not given just once."""
    return _parse_decimal(values[0]) if len(values) == 1 else None


def _decode_values(headers: messages.Headers) -> dict[bytes, str]:
    return {
        name.lower(): value.decode("latin-1").strip()
        for name, value in headers
    }


def _parse_int(text: str | None) -> int | None:
    """Return a whole number, or the greatest one for one that is larger."""
    if not text or not text.isdecimal():
        return None
    digits = text.lstrip("0") or "0"
    return min(int(digits[: len(str(_MAX_INT)) + 1]), _MAX_INT)


def _parse_decimal(text: str) -> float | None:
    return float(text) if _DECIMAL.fullmatch(text) else None


def _parse_token_count(text: str | None) -> tuple[int, int]:
    """Return the prompt tokens and the maximum output tokens."""
    prompt, _, output = (text or "").partition(",")
    return _parse_int(prompt.strip()) or 0, _parse_int(output.strip()) or 0


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the parts of a prompt without the last, which is its own."""
    parts = [entry.partition(":")[0].strip() for entry in text.split(",")]
    return tuple(filter(None, parts[:-1][:_MAX_PARTS]))


def _parse_api_key(authorization: str) -> str | None:
    if not authorization.lower().startswith(_API_KEY_SCHEME):
        return None
    return authorization[len(_API_KEY_SCHEME) :].strip()


def _encode_helpers(helpers: tuple[messages.Helper, ...]) -> bytes:
    entries = (
        f"{h.address}/{h.ticket}" if h.ticket else str(h.address)
        for h in helpers
    )
    return ",".join(entries).encode()
