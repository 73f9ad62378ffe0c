"""Simulation of nodes and engines in virtual time."""

import dataclasses
import functools
import random

from fireflyspur.experiment import engine_model
from fireflyspur.experiment import example_engine
from fireflyspur.experiment import node_model
from fireflyspur.experiment import simulated_request
from fireflyspur.experiment import traffic
from fireflyspur.experiment import virtual_time
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import placement as placements
from fireflyspur.generated import peer_updates_pb2 as peer_updates

# A caller retries a refused request after this time.
_RETRY_AFTER_S = 0.25
# Times after the failure of an engine until its requests fail over, and until
# it is removed from the list of endpoints.
_FAILOVER_S = 1.5
_REMOVAL_S = 3.0
# Time after the last arrival in which responses may be completed.
_DRAIN_S = 20.0


@dataclasses.dataclass(frozen=True)
class Setup:
    """Parameters of a run.

    :param spec: published figures of each engine
    :param engines: number of engines
    :param nodes: number of nodes
    :param seconds: duration of the arrivals
    """

    spec: routing_config.EngineSpec
    engines: int
    nodes: int
    seconds: float
    pattern: traffic.Pattern
    seed: int


class _Engine:
    """An engine and the state of its current pass."""

    def __init__(self, endpoint: endpoints.Endpoint) -> None:
        self.endpoint = endpoint
        self.model: engine_model.EngineModel | None = None
        self.is_busy = False


class FleetSimulation:
    """Simulates the requests of a setup under one policy.

    The gateway's own code makes the decisions; engines, network and callers
    are models.

    :param policy: name of the policy of all nodes
    """

    def __init__(self, setup: Setup, policy: str) -> None:
        self._setup = setup
        self._random = random.Random(setup.seed)
        self._time = virtual_time.VirtualTime()
        self._engines = {
            endpoint.instance: _Engine(endpoint)
            for endpoint in map(example_engine.endpoint, range(setup.engines))
        }
        for engine in self._engines.values():
            engine.model = engine_model.EngineModel(setup.spec)
        self._nodes = [
            node_model.NodeModel(
                f"node-{n}", policy, self._time, self._broadcast
            )
            for n in range(setup.nodes)
        ]
        self._service = routing_config.Service(
            example_engine.SERVICE, setup.spec
        )
        self._requests: dict[str, simulated_request.SimulatedRequest] = {}

    def run(self) -> tuple[simulated_request.SimulatedRequest, ...]:
        """Run the simulation; return all requests in the order of arrival."""
        setup = self._setup
        random.seed(setup.seed)
        arrivals = traffic.arrivals(
            setup.pattern, setup.engines, setup.seconds, self._random
        )
        requests = [
            simulated_request.SimulatedRequest(
                arrival, self._random.choice(self._nodes)
            )
            for arrival in arrivals
        ]
        with clock.override(self._time.now_s):
            self._publish_endpoints()
            for request in requests:
                start = functools.partial(self._place, request)
                self._time.call_later(request.arrival.at_s, start)
            for outage in setup.pattern.outages:
                start = functools.partial(self._start_outage, outage)
                self._time.call_later(outage.at_s, start)
            self._time.run(setup.seconds + _DRAIN_S)
        return tuple(requests)

    def _broadcast(
        self, sender: node_model.NodeModel, update: peer_updates.PeerUpdate
    ) -> None:
        for node in self._nodes:
            if node is not sender:
                node.apply_update(update)

    def _publish_endpoints(self) -> None:
        live = tuple(
            e.endpoint for e in self._engines.values() if e.model is not None
        )
        # Each list must be newer than the previous one.
        endpoint_list = endpoints.EndpointList(live, self._time.now_s() + 1e-9)
        for node in self._nodes:
            node.directory.replace(endpoint_list)

    def _place(self, request: simulated_request.SimulatedRequest) -> None:
        """Place a request, or retry until its caller disconnects."""
        now = self._time.now_s()
        if now > request.arrival.at_s + request.arrival.kind.timeout_s:
            return
        placement = request.node.policy.choose_engine(
            self._service, request.demand(now), frozenset(request.excluded)
        )
        if placement is None or not self._send(request, placement):
            request.excluded.clear()
            retry = functools.partial(self._place, request)
            self._time.call_later(_RETRY_AFTER_S, retry)

    def _send(
        self,
        request: simulated_request.SimulatedRequest,
        placement: placements.Placement,
    ) -> bool:
        """Send a request to its engines; return False if one refuses it."""
        request.attempts += 1
        key = request.attempt_key
        helpers = (helper.endpoint.instance for helper in placement.helpers)
        request.members = (placement.primary.instance, *helpers)
        request.prefilling = set(request.members)
        self._requests[key] = request
        parts = _split(request, placement)
        for instance, part in zip(request.members, parts, strict=True):
            model = self._engines[instance].model
            if model is None:
                self._time.call_later(
                    _FAILOVER_S,
                    functools.partial(self._fail_over, key, instance),
                )
            elif not model.submit(part):
                self._end_attempt(key)
                return False
        request.track(placement, self._time.now_s())
        for instance in request.members:
            self._start_pass(instance)
        return True

    def _end_attempt(self, key: str) -> None:
        """End an attempt on all its engines."""
        request = self._requests.pop(key, None)
        if request is None:
            return
        request.untrack()
        for instance in request.members:
            model = self._engines[instance].model
            if model is not None:
                model.cancel(key)

    def _start_pass(self, instance: str) -> None:
        engine = self._engines[instance]
        if engine.is_busy or engine.model is None:
            return
        engine_pass = engine.model.run_pass()
        if engine_pass is None:
            return
        engine.is_busy = True
        end = functools.partial(
            self._end_pass, engine, engine.model, engine_pass
        )
        self._time.call_later(engine_pass.duration_ms / 1000, end)

    def _end_pass(
        self,
        engine: _Engine,
        model: engine_model.EngineModel,
        engine_pass: engine_model.Pass,
    ) -> None:
        if engine.model is not model:
            # The engine failed during the pass.
            return
        engine.is_busy = False
        instance = engine.endpoint.instance
        for key in engine_pass.prefilled:
            self._mark_part_prefilled(key, instance)
        for key in engine_pass.emitting:
            self._record_event(key)
        for key in engine_pass.ended:
            self._complete(key)
        self._start_pass(instance)

    def _mark_part_prefilled(self, key: str, instance: str) -> None:
        """Start decoding once all parts of a group are prefilled."""
        request = self._requests.get(key)
        if request is None:
            return
        request.prefilling.discard(instance)
        if request.prefilling or len(request.members) == 1:
            return
        primary = request.members[0]
        model = self._engines[primary].model
        if model is not None:
            delay_s = model.start_decoding(key) / 1000
            record = functools.partial(self._record_event, key)
            self._time.call_later(delay_s, record)
            self._start_pass(primary)

    def _record_event(self, key: str) -> None:
        request = self._requests.get(key)
        if request is None:
            return
        now = self._time.now_s()
        is_first = request.first_event_s is None
        stride = self._setup.spec.stride_steps
        request.record_event(
            now,
            1 if is_first else min(stride, request.remaining_output_tokens),
        )
        if is_first:
            request.mark_prefilled(now)

    def _complete(self, key: str) -> None:
        request = self._requests.get(key)
        if request is not None:
            request.is_complete = True
            self._end_attempt(key)

    def _start_outage(self, outage: traffic.Outage) -> None:
        """Make an engine fail; its requests fail over after a delay."""
        instances = list(self._engines)
        instance = instances[int(outage.position * len(instances))]
        engine = self._engines[instance]
        engine.model = None
        engine.is_busy = False
        for key, request in list(self._requests.items()):
            if instance in request.members:
                fail_over = functools.partial(self._fail_over, key, instance)
                self._time.call_later(_FAILOVER_S, fail_over)
        self._time.call_later(_REMOVAL_S, self._publish_endpoints)
        restart = functools.partial(self._restart, engine)
        self._time.call_later(outage.duration_s, restart)

    def _restart(self, engine: _Engine) -> None:
        engine.model = engine_model.EngineModel(self._setup.spec)
        self._publish_endpoints()

    def _fail_over(self, key: str, instance: str) -> None:
        """Place a request again after one of its engines failed."""
        request = self._requests.get(key)
        if request is None:
            return
        request.node.directory.record_fault(instance, "lost")
        request.excluded.add(instance)
        self._end_attempt(key)
        self._place(request)


def _split(
    request: simulated_request.SimulatedRequest,
    placement: placements.Placement,
) -> list[engine_model.Part]:
    """Return the part of each engine, starting with the primary."""
    count = 1 + len(placement.helpers)
    whole = latency_model.full_prefill(request.arrival.prompt_tokens)
    prefill = latency_model.prefill_part(whole, count)
    memory = request.arrival.prompt_tokens + request.remaining_output_tokens
    primary = engine_model.Part(
        request.attempt_key,
        prefill,
        is_whole_prompt=count == 1,
        memory_tokens=memory - sum(h.tokens for h in placement.helpers),
        output_tokens=request.remaining_output_tokens,
    )
    helpers = [
        engine_model.Part(
            request.attempt_key,
            prefill,
            is_helper=True,
            is_whole_prompt=False,
            memory_tokens=helper.tokens,
        )
        for helper in placement.helpers
    ]
    return [primary, *helpers]
