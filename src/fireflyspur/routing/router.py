"""Routing of prompts to engines."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import math
import random
import time

from fireflyspur.clients import engine_client
from fireflyspur.errors import exceptions as base_exceptions
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
# A short prompt is routed to an engine for long prompts only if it saves at
# least this time.
_SPILL_COST_S = 0.1
# An engine processes all short prompts before the long ones.
_LONG_PRIORITY_OFFSET = 10


@dataclasses.dataclass(frozen=True)
class RouteRequest:
    """The prompt to route.

    :param prompt_tokens: estimated length of the prompt
    :param max_tokens: maximum number of generated tokens
    :param prefix_digests: digests of the prompt's prefixes, or None to
        compute them
    :param priority: priority of the client account; 0 is the most urgent
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
    """Prediction that led to a placement, kept until its first token."""

    prediction: ttft_predictor.Prediction
    workload: ttft_predictor.PromptWorkload


class Router:
    """Chooses engines according to the policy of the catalog.

    :param catalog: the current records
    :param view: the node's view of the engines
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
        self._round_robin_index = 0
        self._decisions: dict[int, _Decision] = {}
        view.add_restart_listener(self._prefixes.remove_engine)

    @property
    def view(self) -> engine_view.EngineView:
        """The node's view of the engines."""
        return self._view

    @property
    def long_prompt_share(self) -> float:
        """Current share of the engines for long prompts."""
        return self._long_prompt_share.share

    def is_long(self, prompt_tokens: int) -> bool:
        """Return whether the policy counts a prompt as long."""
        return prompt_tokens >= self._catalog.policy().long_prompt_tokens

    def engine_priority(self, priority: int, prompt_tokens: int) -> int:
        """Return the priority of a prompt on an engine.

        :param priority: priority of the client account
        """
        if self.is_long(prompt_tokens):
            return priority + _LONG_PRIORITY_OFFSET
        return priority

    def workload(self, request: RouteRequest) -> ttft_predictor.PromptWorkload:
        """Return the workload of a prompt on an engine."""
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
        """Return the prediction for an engine that is likely to be chosen.

        It is the best of two random samples. The best of all engines would
        look idle to every node at once, and few prompts would get it.

        :raises NoEngineError: if no engine can accept the prompt now
        :raises EnginesRateLimitedError: if only the rates that they name
            prevent it
        """
        names = self._candidates(request, ())
        now = time.monotonic()
        sample = {
            *self._sample(names, request, workload),
            *self._sample(names, request, workload),
        }
        predictions = [
            self._predictor.predict(n, workload, now) for n in sample
        ]
        return self._lowest_cost(predictions, request)

    def choose(
        self,
        request: RouteRequest,
        avoid: Collection[str] = (),
        workload: ttft_predictor.PromptWorkload | None = None,
    ) -> engine_view.Placement:
        """Choose an engine and add the placement to the view.

        :param request: the prompt
        :param avoid: engines to use only if there are no others
        :param workload: result of :meth:`workload`, or None to compute it
        :returns: the placement, which the caller ends with :meth:`finish`
        :raises NoEngineError: if no engine can accept the prompt now
        :raises EnginesRateLimitedError: if only the rates that they name
            prevent it
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
        prediction = self._predictor.predict(name, workload, now)
        return self._place(prediction, workload, now)

    def refusal(
        self, request: RouteRequest
    ) -> base_exceptions.FireflyspurError:
        """Return the error for a prompt that no engine may get now."""
        retry_after_s = self._view.rates.retry_after_s(
            self._view.serving(request.model, request.adapter),
            request.priority,
        )
        if retry_after_s is not None:
            return exceptions.EnginesRateLimitedError(
                f"all engines with model {request.model} have reached the"
                " rates that they name",
                retry_after_s=retry_after_s,
            )
        return exceptions.NoEngineError(
            f"no engine with model {request.model} accepts requests now",
            retry_after_s=_RETRY_AFTER_S,
        )

    def record_first_token(self, placement: engine_view.Placement) -> None:
        """Record that the first token of a placement was received."""
        self._view.end_prefill(placement)
        decision = self._decisions.pop(id(placement), None)
        if decision is None:
            return
        elapsed_s = time.monotonic() - placement.sent_at
        self._predictor.observe(decision.prediction, elapsed_s)
        self._prefixes.add(placement.engine, decision.workload.prefix_digests)

    def finish(
        self,
        placement: engine_view.Placement,
        line: engine_client.StreamLine | None = None,
    ) -> None:
        """Remove a placement that has ended.

        :param line: final line of the stream with the engine's load, or None
        """
        self._decisions.pop(id(placement), None)
        self._view.remove(placement)
        if line is not None and line.load:
            self._view.update_load(
                placement.engine, load_report.parse(line.load)
            )

    def _place(
        self,
        prediction: ttft_predictor.Prediction,
        workload: ttft_predictor.PromptWorkload,
        now: float,
    ) -> engine_view.Placement:
        cached_ratio = prediction.cached_bytes / max(1, workload.prompt_bytes)
        placement = engine_view.Placement(
            prediction.engine,
            math.ceil(workload.prompt_tokens * (1 - cached_ratio)),
            workload.prompt_tokens + workload.max_tokens,
            now,
            workload.priority,
            self.is_long(workload.prompt_tokens),
        )
        self._long_prompt_share.observe(
            placement.prefill_tokens, placement.is_long, now
        )
        self._decisions[id(placement)] = _Decision(prediction, workload)
        self._view.add(placement)
        return placement

    def _candidates(
        self, request: RouteRequest, avoid: Collection[str]
    ) -> list[str]:
        names = self._view.candidates(request.model, request.adapter)
        names = [n for n in names if n not in avoid] or names
        if not names:
            raise self.refusal(request)
        return names

    def _long_engines(self, names: list[str]) -> set[str]:
        self._long_prompt_share.reset(self._catalog.policy().long_engine_share)
        # All nodes rank the engines in the same order, so a node with a larger
        # share uses the same engines and some more.
        return set(
            rendezvous.rank("long", names)[
                : self._long_prompt_share.engine_count(len(names))
            ]
        )

    def _choose_by_prediction(
        self,
        names: list[str],
        request: RouteRequest,
        workload: ttft_predictor.PromptWorkload,
        now: float,
    ) -> str:
        sample = self._sample(names, request, workload)
        predictions = [
            self._predictor.predict(n, workload, now) for n in sample
        ]
        return self._lowest_cost(predictions, request).engine

    def _sample(
        self,
        names: list[str],
        request: RouteRequest,
        workload: ttft_predictor.PromptWorkload,
    ) -> list[str]:
        """Return a random sample of the engines to compare.

        If all engines were compared, all nodes with the same load reports
        would choose the same engine.
        """
        long_engines = self._long_engines(names)
        # The random order breaks ties, which would otherwise go to the first
        # name on every node.
        names = self._random.sample(names, len(names))
        own = [n for n in names if n not in long_engines] or names
        is_long = self.is_long(request.prompt_tokens)
        sample = set(long_engines) if is_long else set()
        count = min(self._catalog.policy().candidates, len(own))
        sample.update(own[:count])
        sample.add(min(own, key=self._own_prefill_tokens))
        sample.add(max(names, key=lambda n: self._cached_bytes(n, workload)))
        sample.add(self._random.choice(names))
        return sorted(sample)

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
        self._round_robin_index += 1
        return names[self._round_robin_index % len(names)]

    def _least_outstanding(self, names: list[str]) -> str:
        # Ties are broken in rotation, so that idle engines take turns.
        self._round_robin_index += 1
        offset = self._round_robin_index % len(names)
        rotated = names[offset:] + names[:offset]
        return min(rotated, key=lambda n: len(self._view.outstanding(n)))
