"""Client of the plain services."""

from collections.abc import Callable
import dataclasses
import time

import msgspec
from tornado import httpclient
from tornado import httputil
from tornado import simple_httpclient

from fireflyspur.clients import exceptions
from fireflyspur.clients import retry_budget
from fireflyspur.errors import verdict
from fireflyspur.generated import records
from fireflyspur.observability import logs

_CONNECT_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 1.0
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

_log = logs.log_for("services")


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """Call to a service.

    :param target: path and query as received from the caller
    :param deadline: wall-clock time in seconds
    """

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float

    def with_headers(self, **values: str) -> "ServiceCall":
        """Return a copy with headers set; ``_`` in a name becomes ``-``."""
        names = {name.replace("_", "-"): v for name, v in values.items()}
        lower = {name.lower() for name in names}
        unchanged = [h for h in self.headers if h[0].lower() not in lower]
        return dataclasses.replace(self, headers=(*unchanged, *names.items()))


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """Response of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceClient:
    """Sends calls to the endpoints of a service.

    :param http: the shared HTTP client
    :param is_leaving: whether an endpoint, given by address and port, must
        not get new calls
    :param report_leaving: called with the service, address and port of an
        endpoint that responds that it is leaving
    """

    def __init__(
        self,
        http: httpclient.AsyncHTTPClient,
        is_leaving: Callable[[str, int], bool],
        report_leaving: Callable[[str, str, int], None],
    ) -> None:
        self._http = http
        self._is_leaving = is_leaving
        self._report_leaving = report_leaving
        self._budget = retry_budget.RetryBudget()
        self._rotation = 0

    async def send_repeatable(
        self,
        call: ServiceCall,
        spec: records.ServiceSpec,
        retry_ratio: float,
    ) -> ServiceResponse:
        """Send a call that may be repeated after a lost response.

        :param retry_ratio: retries allowed for each first attempt
        :raises ServiceUnavailableError: if no byte reached an endpoint
        :raises ServiceConnectionLostError: if the response was lost
        :raises ServiceTimeoutError: if the time limit passed
        """
        self._budget.add_attempt(retry_ratio)
        lost: exceptions.ServiceConnectionLostError | None = None
        for endpoint in self._candidates(spec):
            if lost is not None and not self._budget.try_acquire():
                raise lost
            try:
                return await self._attempt(endpoint, call)
            except exceptions.ServiceUnavailableError as error:
                _log.info("Endpoint unavailable: {}", error)
            except exceptions.ServiceConnectionLostError as error:
                _log.info("Response lost: {}", error)
                lost = error
        raise lost or _unavailable(call.service)

    async def send_once(
        self, call: ServiceCall, spec: records.ServiceSpec
    ) -> ServiceResponse:
        """Send a call that must not be repeated once any byte was sent.

        Another endpoint is tried only while nothing was sent, or when the
        endpoint itself refused the call because it is leaving.

        :raises ServiceUnavailableError: if the call was not run
        :raises ServiceConnectionLostError: if it may have run
        :raises ServiceTimeoutError: if it may have run
        """
        for endpoint in self._candidates(spec):
            try:
                return await self._attempt(endpoint, call)
            except exceptions.ServiceUnavailableError as error:
                _log.info("Endpoint unavailable: {}", error)
        raise _unavailable(call.service)

    def _candidates(
        self, spec: records.ServiceSpec
    ) -> list[records.ServiceEndpoint]:
        self._rotation += 1
        shift = self._rotation % len(spec.endpoints)
        rotated = spec.endpoints[shift:] + spec.endpoints[:shift]
        return [e for e in rotated if not self._is_leaving(e.address, e.port)]

    async def _attempt(
        self, endpoint: records.ServiceEndpoint, call: ServiceCall
    ) -> ServiceResponse:
        address = f"{endpoint.address}:{endpoint.port}"
        remaining_s = call.deadline - time.time()
        if remaining_s <= 0:
            raise exceptions.ServiceUnavailableError(
                "the time limit passed before the call was sent"
            )
        has_body = call.method not in ("GET", "HEAD")
        request = httpclient.HTTPRequest(
            f"http://{address}{call.target}",
            method=call.method,
            headers=_request_headers(call, remaining_s),
            body=call.body if call.body or has_body else None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=min(_CONNECT_TIMEOUT_S, remaining_s),
            request_timeout=remaining_s,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except Exception as error:
            raise _to_exception(address, error, call.deadline) from error
        if response.code == 599:
            raise _to_exception(address, response.error, call.deadline)
        if response.code == 503 and _error_code(response.body) == "leaving":
            self._report_leaving(call.service, endpoint.address, endpoint.port)
            raise exceptions.ServiceUnavailableError(f"{address} is leaving")
        # The length is recomputed from the body. A response to HEAD has no
        # body, so it keeps the service's header.
        removed = set() if call.method == "HEAD" else {"content-length"}
        headers = forwarded_headers(response.headers, removed)
        return ServiceResponse(response.code, headers, response.body or b"")


def forwarded_headers(
    headers: httputil.HTTPHeaders, removed: set[str]
) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers, without the hop-by-hop ones.

    :param headers: the headers received
    :param removed: lower-case names of other headers to remove
    """
    connection_headers = {
        name.strip().lower()
        for value in headers.get_list("Connection")
        for name in value.split(",")
    }
    excluded = _HOP_BY_HOP | connection_headers | removed
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in excluded
    )


def _request_headers(
    call: ServiceCall, remaining_s: float
) -> httputil.HTTPHeaders:
    headers = httputil.HTTPHeaders()
    for name, value in call.headers:
        headers.add(name, value)
    headers["Request-Timeout"] = f"{remaining_s:.3f}"
    return headers


def _unavailable(service: str) -> exceptions.ServiceUnavailableError:
    return exceptions.ServiceUnavailableError(
        f"no endpoint of service {service} accepts calls now",
        retry_after_s=_RETRY_AFTER_S,
    )


def _to_exception(
    address: str, error: BaseException | None, deadline: float
) -> Exception:
    if _is_before_sending(error):
        return exceptions.ServiceUnavailableError(
            f"{address} is unreachable: {error}"
        )
    if time.time() >= deadline or isinstance(
        error, simple_httpclient.HTTPTimeoutError
    ):
        return exceptions.ServiceTimeoutError(
            "the service did not respond within the time limit",
            verdict=verdict.Verdict.MAY_HAVE_RUN,
        )
    return exceptions.ServiceConnectionLostError(
        f"the connection to {address} broke: {error}",
        verdict=verdict.Verdict.MAY_HAVE_RUN,
        retry_after_s=_RETRY_AFTER_S,
    )


def _is_before_sending(error: BaseException | None) -> bool:
    """Return whether the error occurred before any byte was sent.

    Every error except a refused or unfinished connection counts as after
    sending. Tornado's only timeout once connected is "during request".
    """
    if isinstance(error, simple_httpclient.HTTPTimeoutError):
        return "during request" not in str(error)
    return isinstance(error, ConnectionRefusedError)


def _error_code(body: bytes | None) -> str:
    try:
        return str(msgspec.json.decode(body or b"")["code"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return ""
