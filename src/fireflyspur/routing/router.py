"""Choice of the engine for a prompt."""

from collections.abc import Collection
import dataclasses

from fireflyspur.generated import records
from fireflyspur.records import catalog as catalogs
from fireflyspur.routing import engine_view
from fireflyspur.routing import exceptions

_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class RouteRequest:
    """What the router knows of a prompt.

    :param prompt_tokens: estimated length of the prompt
    :param max_tokens: greatest number of generated tokens
    """

    model: str
    adapter: str
    prompt: str
    prompt_tokens: int
    max_tokens: int


class Router:
    """Chooses engines by the policy of the catalog.

    :param catalog: the records in force
    :param view: what the node knows about the engines
    """

    def __init__(
        self, catalog: catalogs.Catalog, view: engine_view.EngineView
    ) -> None:
        self._catalog = catalog
        self._view = view
        self._turn = 0

    @property
    def view(self) -> engine_view.EngineView:
        """What the node knows about the engines."""
        return self._view

    def choose(
        self, request: RouteRequest, avoid: Collection[str] = ()
    ) -> engine_view.Placement:
        """Choose an engine and count the work as sent to it.

        :param request: the prompt
        :param avoid: engines to pass over when there are others
        :returns: the placement; the caller removes it from the view
        :raises NoEngineError: if no engine can take the prompt now
        """
        names = self._view.candidates(request.model, request.adapter)
        names = [n for n in names if n not in avoid] or names
        if not names:
            raise exceptions.NoEngineError(
                f"no engine with model {request.model} takes work now",
                retry_after_s=_RETRY_AFTER_S,
            )
        match self._catalog.policy().routing:
            case records.Routing.round_robin:
                name = self._next_in_turn(names)
            case _:
                name = self._least_outstanding(names)
        placement = engine_view.Placement(
            name,
            request.prompt_tokens,
            request.prompt_tokens + request.max_tokens,
        )
        self._view.add(placement)
        return placement

    def _next_in_turn(self, names: list[str]) -> str:
        self._turn += 1
        return names[self._turn % len(names)]

    def _least_outstanding(self, names: list[str]) -> str:
        # The turn breaks ties, so that idle engines are used in rotation.
        self._turn += 1
        shift = self._turn % len(names)
        rotated = names[shift:] + names[:shift]
        return min(rotated, key=lambda n: len(self._view.outstanding(n)))
