"""Choice of the engine for a prompt."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import math
import random
import time

from fireflyspur.clients import engine_client
from fireflyspur.generated import records
from fireflyspur.membership import rendezvous
from fireflyspur.records import catalog as catalogs
from fireflyspur.routing import engine_view
from fireflyspur.routing import exceptions
from fireflyspur.routing import load_report
from fireflyspur.routing import long_prompt_share
from fireflyspur.routing import prefix_index
from fireflyspur.routing import ttft_predictor

_RETRY_AFTER_S = 1.0
# A short prompt goes to an engine for long ones only when it gains this much.
_SPILL_COST_S = 0.1
# Long prompts come after all short ones on an engine.
_LONG_PRIORITY_OFFSET = 10


@dataclasses.dataclass(frozen=True)
class RouteRequest:
    """What the router knows of a prompt.

    :param prompt_tokens: estimated length of the prompt
    :param max_tokens: greatest number of generated tokens
    :param prefix_digests: digests of the prompt's prefixes, or None to
        compute them
    :param priority: of the client account; 0 is the most urgent
    """

    model: str
    adapter: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 5
    prefix_digests: list[prefix_index.PrefixDigest] | None = None


@dataclasses.dataclass(frozen=True)
class _Decision:
    """Why a placement was made, kept until its first token."""

    predicted: ttft_predictor.Prediction
    workload: ttft_predictor.PromptWorkload


class Router:
    """Chooses engines by the policy of the catalog.

    :param catalog: the records in force
    :param view: what the node knows about the engines
    :param failure_domain: failure domain of the node
    :param seed: seed of the random choices, or None
    :param node_count: returns the number of live nodes
    """

    def __init__(
        self,
        catalog: catalogs.Catalog,
        view: engine_view.EngineView,
        failure_domain: str = "",
        seed: int | None = None,
        node_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._catalog = catalog
        self._view = view
        self._prefixes = prefix_index.PrefixIndex()
        self._predictor = ttft_predictor.TtftPredictor(
            view, self._prefixes, failure_domain, node_count
        )
        self._random = random.Random(seed)
        self._long_prompt_share = long_prompt_share.LongPromptShare(
            catalog.policy().long_engine_share
        )
        self._turn = 0
        self._decisions: dict[int, _Decision] = {}
        view.add_restart_listener(self._prefixes.remove_engine)

    @property
    def view(self) -> engine_view.EngineView:
        """What the node knows about the engines."""
        return self._view

    @property
    def long_prompt_share(self) -> float:
        """Share of the engines that long prompts may use now."""
        return self._long_prompt_share.share

    def is_long(self, prompt_tokens: int) -> bool:
        """Whether the policy counts a prompt as long."""
        return prompt_tokens >= self._catalog.policy().long_prompt_tokens

    def engine_priority(self, priority: int, prompt_tokens: int) -> int:
        """Return the priority that an engine is given.

        :param priority: of the client account
        """
        if self.is_long(prompt_tokens):
            return priority + _LONG_PRIORITY_OFFSET
        return priority

    def workload(self, request: RouteRequest) -> ttft_predictor.PromptWorkload:
        """Return what a prompt asks of an engine."""
        prefix_digests = request.prefix_digests
        if prefix_digests is None:
            prefix_digests = prefix_index.digests(
                request.model, request.adapter, request.prompt
            )
        return ttft_predictor.PromptWorkload(
            request.prompt_tokens,
            len(request.prompt),
            request.max_tokens,
            self.engine_priority(request.priority, request.prompt_tokens),
            prefix_digests,
        )

    def predict_best(
        self, request: RouteRequest, workload: ttft_predictor.PromptWorkload
    ) -> ttft_predictor.Prediction:
        """Predict the first token on the engine that may be chosen.

        Two draws are compared. The best of all engines would look idle to
        every node at once, and few prompts would get it.

        :raises NoEngineError: if no engine can take the prompt now
        """
        names = self._candidates(request, ())
        now = time.monotonic()
        drawn = {
            *self._sample(names, request, workload),
            *self._sample(names, request, workload),
        }
        predictions = [
            self._predictor.predict(n, workload, now) for n in drawn
        ]
        return self._lowest_cost(predictions, request)

    def choose(
        self,
        request: RouteRequest,
        avoid: Collection[str] = (),
        workload: ttft_predictor.PromptWorkload | None = None,
    ) -> engine_view.Placement:
        """Choose an engine and count the work as sent to it.

        :param request: the prompt
        :param avoid: engines to pass over when there are others
        :param workload: result of :meth:`work`, when it is known already
        :returns: the placement; the caller removes it from the view
        :raises NoEngineError: if no engine can take the prompt now
        """
        workload = workload or self.workload(request)
        names = self._candidates(request, avoid)
        now = time.monotonic()
        match self._catalog.policy().routing:
            case records.Routing.round_robin:
                name = self._next_round_robin(names)
            case records.Routing.least_outstanding:
                name = self._least_outstanding(names)
            case _:
                name = self._choose_by_prediction(
                    names, request, workload, now
                )
        predicted = self._predictor.predict(name, workload, now)
        return self._place(predicted, workload, now)

    def record_first_token(self, placement: engine_view.Placement) -> None:
        """Note the first token of a placement."""
        self._view.end_prefill(placement)
        decision = self._decisions.pop(id(placement), None)
        if decision is None:
            return
        elapsed_s = time.monotonic() - placement.sent_at
        self._predictor.observe(decision.predicted, elapsed_s)
        self._prefixes.add(placement.engine, decision.workload.prefix_digests)

    def finish(
        self,
        placement: engine_view.Placement,
        line: engine_client.StreamLine | None = None,
    ) -> None:
        """Count a placement as ended.

        :param line: the closing line with the engine's load, if there was one
        """
        self._decisions.pop(id(placement), None)
        self._view.remove(placement)
        if line is not None and line.load:
            self._view.update_load(
                placement.engine, load_report.parse(line.load)
            )

    def _place(
        self,
        predicted: ttft_predictor.Prediction,
        workload: ttft_predictor.PromptWorkload,
        now: float,
    ) -> engine_view.Placement:
        cached = predicted.cached_bytes / max(1, workload.prompt_bytes)
        placement = engine_view.Placement(
            predicted.engine,
            math.ceil(workload.prompt_tokens * (1 - cached)),
            workload.prompt_tokens + workload.max_tokens,
            now,
            workload.priority,
            self.is_long(workload.prompt_tokens),
        )
        self._long_prompt_share.observe(
            placement.prefill_tokens, placement.is_long, now
        )
        self._decisions[id(placement)] = _Decision(predicted, workload)
        self._view.add(placement)
        return placement

    def _candidates(
        self, request: RouteRequest, avoid: Collection[str]
    ) -> list[str]:
        names = self._view.candidates(request.model, request.adapter)
        names = [n for n in names if n not in avoid] or names
        if not names:
            raise exceptions.NoEngineError(
                f"no engine with model {request.model} takes work now",
                retry_after_s=_RETRY_AFTER_S,
            )
        return names

    def _long_engines(self, names: list[str]) -> set[str]:
        self._long_prompt_share.reset(self._catalog.policy().long_engine_share)
        # All nodes rank alike, so a node with a larger share uses the same
        # engines and some more.
        return set(
            rendezvous.rank("long", names)[
                : self._long_prompt_share.count(len(names))
            ]
        )

    def _choose_by_prediction(
        self,
        names: list[str],
        request: RouteRequest,
        workload: ttft_predictor.PromptWorkload,
        now: float,
    ) -> str:
        compared = self._sample(names, request, workload)
        predictions = [
            self._predictor.predict(n, workload, now) for n in compared
        ]
        return self._lowest_cost(predictions, request).engine

    def _sample(
        self,
        names: list[str],
        request: RouteRequest,
        workload: ttft_predictor.PromptWorkload,
    ) -> list[str]:
        """Draw the engines to compare.

        Comparing all of them would send every node that sees the same report
        to the same engine.
        """
        long_engines = self._long_engines(names)
        # The order breaks ties below, which would else go to the first name
        # on every node.
        names = self._random.sample(names, len(names))
        own = [n for n in names if n not in long_engines] or names
        is_long = self.is_long(request.prompt_tokens)
        drawn = set(long_engines) if is_long else set()
        count = min(self._catalog.policy().candidates, len(own))
        drawn.update(own[:count])
        drawn.add(min(own, key=self._own_prefill_tokens))
        drawn.add(max(names, key=lambda n: self._cached_bytes(n, workload)))
        drawn.add(self._random.choice(names))
        return sorted(drawn)

    def _lowest_cost(
        self,
        predictions: list[ttft_predictor.Prediction],
        request: RouteRequest,
    ) -> ttft_predictor.Prediction:
        names = self._view.candidates(request.model, request.adapter)
        long_engines = self._long_engines(names)
        is_long = self.is_long(request.prompt_tokens)
        ratio = self._catalog.policy().long_spill_ratio

        def cost_s(prediction: ttft_predictor.Prediction) -> float:
            cost = prediction.ttft_s + prediction.delay_s
            if is_long == (prediction.engine in long_engines):
                return cost
            return cost + (
                ratio * prediction.prefill_s if is_long else _SPILL_COST_S
            )

        self._random.shuffle(predictions)
        return min(predictions, key=cost_s)

    def _cached_bytes(
        self, name: str, workload: ttft_predictor.PromptWorkload
    ) -> int:
        return self._prefixes.cached_bytes(name, workload.prefix_digests)

    def _own_prefill_tokens(self, name: str) -> int:
        return sum(p.prefill_tokens for p in self._view.pending_prefills(name))

    def _next_round_robin(self, names: list[str]) -> str:
        self._turn += 1
        return names[self._turn % len(names)]

    def _least_outstanding(self, names: list[str]) -> str:
        # The turn breaks ties, so that idle engines are used in rotation.
        self._turn += 1
        shift = self._turn % len(names)
        rotated = names[shift:] + names[:shift]
        return min(rotated, key=lambda n: len(self._view.outstanding(n)))
