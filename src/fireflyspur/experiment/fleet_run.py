"""A run of nodes and engines in virtual time."""

import dataclasses
import functools
import random

from fireflyspur.experiment import engine_model
from fireflyspur.experiment import example_engine
from fireflyspur.experiment import node_model
from fireflyspur.experiment import prompt_run
from fireflyspur.experiment import traffic
from fireflyspur.experiment import virtual_time
from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import latency_model
from fireflyspur.gateway import placement as placements
from fireflyspur.gateway import routing_config
from fireflyspur.generated import fleet_news_pb2 as fleet_news

# A refused caller comes back after this time.
_RETRY_AFTER_S = 0.25
# Silence of a lost engine, until its requests are taken elsewhere, and until
# it is off the list.
_STALL_S = 1.5
_LIST_S = 3.0
# Time after the last arrival in which answers may end.
_DRAIN_S = 20.0


@dataclasses.dataclass(frozen=True)
class Setup:
    """What a run is made of.

    :param spec: figures of each engine
    :param seconds: time in which requests arrive
    """

    spec: routing_config.EngineSpec
    engines: int
    nodes: int
    seconds: float
    pattern: traffic.Pattern
    seed: int


class _Engine:
    """An engine with its passes in time."""

    def __init__(self, item: endpoints.Endpoint) -> None:
        self.endpoint = item
        self.model: engine_model.EngineModel | None = None
        self.is_busy = False


class FleetRun:
    """Plays the arrivals of a setup under one policy.

    The decisions are those of the gateway's modules; engines, network and
    callers are models.

    :param policy: name of the policy of all nodes
    """

    def __init__(self, setup: Setup, policy: str) -> None:
        self._setup = setup
        self._random = random.Random(setup.seed)
        self._time = virtual_time.VirtualTime()
        self._engines = {
            item.instance: _Engine(item)
            for item in map(example_engine.endpoint, range(setup.engines))
        }
        for engine in self._engines.values():
            engine.model = engine_model.EngineModel(setup.spec)
        self._nodes = [
            node_model.NodeModel(f"node-{n}", policy, self._time, self._spread)
            for n in range(setup.nodes)
        ]
        self._service = routing_config.Service(
            example_engine.SERVICE, setup.spec
        )
        self._runs: dict[str, prompt_run.PromptRun] = {}

    def run(self) -> tuple[prompt_run.PromptRun, ...]:
        """Play the run; returns all requests in the order of arrival."""
        setup = self._setup
        random.seed(setup.seed)
        wanted = traffic.arrivals(
            setup.pattern, setup.engines, setup.seconds, self._random
        )
        runs = [
            prompt_run.PromptRun(item, self._random.choice(self._nodes))
            for item in wanted
        ]
        with clock.override(self._time.now_s):
            self._list_engines()
            for run in runs:
                start = functools.partial(self._try, run)
                self._time.call_later(run.arrival.at_s, start)
            for loss in setup.pattern.losses:
                lose = functools.partial(self._lose, loss)
                self._time.call_later(loss.at_s, lose)
            self._time.run(setup.seconds + _DRAIN_S)
        return tuple(runs)

    def _spread(
        self, sender: node_model.NodeModel, news: fleet_news.FleetNews
    ) -> None:
        for node in self._nodes:
            if node is not sender:
                node.take_news(news)

    def _list_engines(self) -> None:
        living = tuple(
            e.endpoint for e in self._engines.values() if e.model is not None
        )
        # A list is newer than the one before it.
        read = endpoints.EndpointList(living, self._time.now_s() + 1e-9)
        for node in self._nodes:
            node.directory.replace(read)

    def _try(self, run: prompt_run.PromptRun) -> None:
        """Place a request, or let its caller come back until it leaves."""
        now = self._time.now_s()
        if now > run.arrival.at_s + run.arrival.kind.patience_s:
            return
        placement = run.node.policy.choose_engine(
            self._service, run.demand(now), frozenset(run.excluded)
        )
        if placement is None or not self._send(run, placement):
            run.excluded.clear()
            again = functools.partial(self._try, run)
            self._time.call_later(_RETRY_AFTER_S, again)

    def _send(
        self, run: prompt_run.PromptRun, placement: placements.Placement
    ) -> bool:
        """Send a request to its engines; False if one refuses its part."""
        run.attempts += 1
        key = run.attempt_key
        helpers = (helper.endpoint.instance for helper in placement.helpers)
        run.members = (placement.primary.instance, *helpers)
        run.unread = set(run.members)
        self._runs[key] = run
        parts = _parts_of(run, placement)
        for instance, part in zip(run.members, parts, strict=True):
            model = self._engines[instance].model
            if model is None:
                self._time.call_later(
                    _STALL_S, functools.partial(self._cut, key, instance)
                )
            elif not model.submit(part):
                self._drop(key)
                return False
        run.track(placement, self._time.now_s())
        for instance in run.members:
            self._wake(instance)
        return True

    def _drop(self, key: str) -> None:
        """End an attempt at all its engines."""
        run = self._runs.pop(key, None)
        if run is None:
            return
        run.untrack()
        for instance in run.members:
            model = self._engines[instance].model
            if model is not None:
                model.cancel(key)

    def _wake(self, instance: str) -> None:
        engine = self._engines[instance]
        if engine.is_busy or engine.model is None:
            return
        done = engine.model.begin_pass()
        if done is None:
            return
        engine.is_busy = True
        end = functools.partial(self._end_pass, engine, engine.model, done)
        self._time.call_later(done.duration_ms / 1000, end)

    def _end_pass(
        self,
        engine: _Engine,
        model: engine_model.EngineModel,
        done: engine_model.Pass,
    ) -> None:
        if engine.model is not model:
            # The engine was lost in the middle of the pass.
            return
        engine.is_busy = False
        instance = engine.endpoint.instance
        for key in done.read:
            self._note_part(key, instance)
        for key in done.written:
            self._note_event(key)
        for key in done.ended:
            self._end(key)
        self._wake(instance)

    def _note_part(self, key: str, instance: str) -> None:
        """Begin a group's answer when its last part has been read."""
        run = self._runs.get(key)
        if run is None:
            return
        run.unread.discard(instance)
        if run.unread or len(run.members) == 1:
            return
        first = run.members[0]
        model = self._engines[first].model
        if model is not None:
            delay_s = model.begin_writing(key) / 1000
            event = functools.partial(self._note_event, key)
            self._time.call_later(delay_s, event)
            self._wake(first)

    def _note_event(self, key: str) -> None:
        run = self._runs.get(key)
        if run is None:
            return
        now = self._time.now_s()
        is_first = run.first_s is None
        stride = self._setup.spec.stride_steps
        run.note_event(now, 1 if is_first else min(stride, run.unwritten))
        if is_first:
            run.note_read(now)

    def _end(self, key: str) -> None:
        run = self._runs.get(key)
        if run is not None:
            run.is_ended = True
            self._drop(key)

    def _lose(self, loss: traffic.Loss) -> None:
        """Lose an engine; its requests are taken elsewhere after a stall."""
        names = list(self._engines)
        instance = names[int(loss.share * len(names))]
        engine = self._engines[instance]
        engine.model = None
        engine.is_busy = False
        for key, run in list(self._runs.items()):
            if instance in run.members:
                cut = functools.partial(self._cut, key, instance)
                self._time.call_later(_STALL_S, cut)
        self._time.call_later(_LIST_S, self._list_engines)
        back = functools.partial(self._restart, engine)
        self._time.call_later(loss.for_s, back)

    def _restart(self, engine: _Engine) -> None:
        engine.model = engine_model.EngineModel(self._setup.spec)
        self._list_engines()

    def _cut(self, key: str, instance: str) -> None:
        """Take a request elsewhere whose engine was lost."""
        run = self._runs.get(key)
        if run is None:
            return
        run.node.directory.note_fault(instance, "lost")
        run.excluded.add(instance)
        self._drop(key)
        self._try(run)


def _parts_of(
    run: prompt_run.PromptRun, placement: placements.Placement
) -> list[engine_model.Part]:
    """Return what each engine does, that of the first one first."""
    count = 1 + len(placement.helpers)
    whole = latency_model.full_prefill(run.arrival.prompt_tokens)
    prefill = latency_model.prefill_part(whole, count)
    memory = run.arrival.prompt_tokens + run.unwritten
    first = engine_model.Part(
        run.attempt_key,
        prefill,
        is_alone=count == 1,
        memory_tokens=memory - sum(h.tokens for h in placement.helpers),
        output_tokens=run.unwritten,
    )
    others = [
        engine_model.Part(
            run.attempt_key,
            prefill,
            is_helper=True,
            is_alone=False,
            memory_tokens=helper.tokens,
        )
        for helper in placement.helpers
    ]
    return [first, *others]
