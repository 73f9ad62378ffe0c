"""Stand-in of a plain service whose calls have effects."""

import asyncio
import collections
import dataclasses
from typing import Any

from tornado import web

from fireflyspur.standins import counted_faults
from fireflyspur.standins import server


@dataclasses.dataclass(frozen=True)
class ServiceFaults:
    """Faults that the service produces.

    :param delay_ms: delay before the effect
    :param answer_delay_ms: delay between the effect and the response
    :param lose_answers: this many calls take effect and are reset then
    :param reset_before: this many calls are reset before the effect
    :param refuse: code of a 503 response to each call, such as ``leaving``
    """

    delay_ms: int = 0
    answer_delay_ms: int = 0
    lose_answers: int = 0
    reset_before: int = 0
    refuse: str = ""


class Service:
    """Effects and the first results by idempotency key.

    :param fencing: refuse a token lower than one seen for the key
    :param replays_results: respond to a key that ran with its first result
    """

    def __init__(self, fencing: bool, replays_results: bool) -> None:
        self._fencing = fencing
        self._replays_results = replays_results
        self._tokens: dict[str, int] = {}
        self._results: dict[str, dict[str, Any]] = {}
        self.effects: list[dict[str, Any]] = []
        self.received = 0
        self.faults = ServiceFaults()

    def is_stale(self, key: str, token: int) -> bool:
        """Note a token; True when a higher one was seen for the key."""
        highest = max(token, self._tokens.get(key, 0))
        self._tokens[key] = highest
        return self._fencing and token < highest

    def run(self, effect: dict[str, Any]) -> dict[str, Any]:
        """Run a call, or return the first result of its key."""
        key = effect["key"]
        if self._replays_results and key in self._results:
            return self._results[key]
        self.effects.append(effect)
        result = {"number": len(self.effects), **effect}
        self._results.setdefault(key, result)
        return result

    def take(self, fault: str) -> bool:
        """Use up one of the faults that are counted."""
        self.faults, is_used = counted_faults.take(self.faults, fault)
        return is_used


class _ServiceHandler(server.JsonHandler):
    def initialize(self, service: Service) -> None:
        self._service = service


class CallHandler(_ServiceHandler):
    """Any path: runs the call."""

    async def post(self) -> None:
        """Run the call, with the faults that are set."""
        service = self._service
        service.received += 1
        headers = self.request.headers
        key = headers.get("Idempotency-Key", "")
        token = int(headers.get("Fencing-Token", "0"))
        if service.faults.refuse:
            self.refuse(503, service.faults.refuse)
            return
        await asyncio.sleep(service.faults.delay_ms / 1000)
        if service.take("reset_before"):
            self._reset()
            return
        if service.is_stale(key, token):
            self.refuse(409, "stale_fencing_token")
            return
        effect = {
            "key": key,
            "token": token,
            "method": self.request.method,
            "target": self.request.uri,
            "body": self.request.body.decode(errors="replace"),
            "headers": collections.OrderedDict(headers.get_all()),
        }
        result = service.run(effect)
        await asyncio.sleep(service.faults.answer_delay_ms / 1000)
        if service.take("lose_answers"):
            self._reset()
            return
        self.set_header("Service-Number", str(result["number"]))
        self.send(result)

    get = put = patch = delete = post

    def _reset(self) -> None:
        self.request.connection.stream.close()


class EffectsHandler(_ServiceHandler):
    """``GET /effects``."""

    def get(self) -> None:
        """Respond with all effects in order, and the calls received."""
        self.send(
            {
                "effects": self._service.effects,
                "received": self._service.received,
            }
        )


class FaultsHandler(_ServiceHandler):
    """``/faults``: sets the faults that the service produces."""

    def post(self) -> None:
        """Replace the faults; keys left out are off."""
        self._service.faults = ServiceFaults(**self.read_json())
        self.send(dataclasses.asdict(self._service.faults))


def application(
    fencing: bool = False, replays_results: bool = False
) -> web.Application:
    """Return the stand-in's application.

    :param fencing: refuse a token lower than one seen for the key
    :param replays_results: respond to a key that ran with its first result
    """
    arguments = {"service": Service(fencing, replays_results)}
    return web.Application(
        [
            ("/effects", EffectsHandler, arguments),
            ("/faults", FaultsHandler, arguments),
            ("/.*", CallHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
