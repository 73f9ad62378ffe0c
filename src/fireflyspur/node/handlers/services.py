"""Handler that forwards calls to plain services."""

import hashlib
import time

from tornado import httputil

from fireflyspur.admission import authenticator
from fireflyspur.claims import claim_ledger
from fireflyspur.claims import claim_partition
from fireflyspur.clients import service_client
from fireflyspur.errors import exceptions
from fireflyspur.generated import records
from fireflyspur.node.handlers import base

# The caller's API key is only for the node, which sets the other headers
# itself.
_NOT_FORWARDED = {
    "authorization",
    "client-account",
    "content-length",
    "expect",
    "fencing-token",
    "host",
    "request-timeout",
    "x-request-id",
}
_REPEATABLE_METHODS = frozenset({"GET", "HEAD"})


class ServiceNotFoundError(exceptions.FireflyspurError):
    """No record describes the service."""

    code = "service_not_found"
    http_status = 404


class ServicesHandler(base.CallerHandler):
    """``/services/NAME/...``."""

    def compute_etag(self) -> str | None:
        """Return no entity tag, since the service sets its own."""
        return None

    async def get(self, name: str) -> None:
        """Forward a call that is safe to repeat."""
        await self._forward(name)

    head = get

    async def post(self, name: str) -> None:
        """Forward a call that is repeated only if its service allows it."""
        await self._forward(name)

    put = patch = delete = options = post

    async def _forward(self, name: str) -> None:
        account = self.account()
        timeout_s = self.timeout_s(account)
        elapsed_s = time.monotonic() - self._received_at
        deadline = time.time() + timeout_s - elapsed_s
        catalog = self._node.follower.catalog
        spec = catalog.specs(records.ServiceSpec).get(name)
        if spec is None:
            raise ServiceNotFoundError(f"no service has the name {name:.80}")
        call = self._build_call(name, account, deadline)
        if call.method in _REPEATABLE_METHODS or spec.repeatable:
            response = await self._node.services.send_repeatable(
                call, spec, catalog.policy().retry_ratio
            )
        else:
            response = await self._run_once(call, spec, account)
        await self._send(response)

    def _build_call(
        self, name: str, account: authenticator.Account, deadline: float
    ) -> service_client.ServiceCall:
        target = self.request.uri[len(f"/services/{name}") :]
        call = service_client.ServiceCall(
            service=name,
            method=self.request.method,
            target=target if target.startswith("/") else f"/{target}",
            headers=service_client.forwarded_headers(
                self.request.headers, _NOT_FORWARDED
            ),
            body=self.take_body(),
            deadline=deadline,
        )
        return call.with_headers(
            Client_Account=account.name, X_Request_Id=self.request_id
        )

    async def _run_once(
        self,
        call: service_client.ServiceCall,
        spec: records.ServiceSpec,
        account: authenticator.Account,
    ) -> service_client.ServiceResponse:
        async def send(
            claim: claim_partition.Claim,
        ) -> service_client.ServiceResponse:
            _, _, key = claim.identity
            fenced = call.with_headers(
                Idempotency_Key=key, Fencing_Token=str(claim.offset)
            )
            return await self._node.services.send_once(fenced, spec)

        result = await self._node.ledger.run(
            claim_ledger.IdempotentCall(
                account=account.name,
                service=call.service,
                key=self.request.headers.get("Idempotency-Key", ""),
                body_hash=_hash_call(call),
                deadline=call.deadline,
                takeover_allowed=spec.fencing and spec.replays_results,
            ),
            send,
        )
        if result.is_replayed:
            self.set_header("Idempotent-Replayed", "true")
        return result.response

    async def _send(self, response: service_client.ServiceResponse) -> None:
        self.set_status(
            response.status, httputil.responses.get(response.status, "Unknown")
        )
        self.clear_header("Content-Type")
        for name, value in response.headers:
            if name.lower() in ("x-request-id", "server", "date"):
                continue
            self.add_header(name, value)
        if response.body:
            self.write(response.body)
        await self.finish()


def _hash_call(call: service_client.ServiceCall) -> str:
    """Return a hash of the call's method, target and body."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()
