"""Notes when endpoints are seen leaving and when they get work."""

import threading
import time
import urllib.error

from tests.support import fleet_driver
from tests.support import history as histories
from tools import fleet as fleets

_PERIOD_S = 0.1


class WorkWatcher:
    """Polls the nodes' views and the engines' statistics.

    A stream is noted with the time of the poll before the one that showed it,
    and a sign of leaving with the time of the poll that showed it, so that a
    slow poll never makes work look later than it was.
    """

    def __init__(
        self, driver: fleet_driver.FleetDriver, history: histories.History
    ) -> None:
        self._driver = driver
        self._history = history
        self._runs: dict[str, set[tuple[str, int]]] = {}
        self._polled: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def leaving(self) -> set[str]:
        """Engines that a node has seen leaving."""
        return set(self._leaving)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(_PERIOD_S):
            for engine in self._driver.names("engine"):
                self._ask(self._poll_engine, engine)
            for node in self._driver.names("node"):
                self._ask(self._poll_node, node)

    def _ask(self, function, name: str) -> None:
        try:
            function(name)
        except (OSError, urllib.error.URLError, RuntimeError, ValueError):
            # A process that is being killed or replaced.
            return

    def _poll_engine(self, engine: str) -> None:
        url = self._driver.url(engine) + "/stats"
        asked = time.monotonic()
        streams = fleets.call(url)["streams"]
        runs = {(s["request_id"], s["attempt"]) for s in streams}
        since = self._polled.get(engine, asked)
        for _ in runs - self._runs.get(engine, set()):
            self._history.add(histories.WorkStarted(since, engine))
        self._runs[engine], self._polled[engine] = runs, asked

    def _poll_node(self, node: str) -> None:
        for engine in self._driver.view(node)["engines"]:
            name = engine["name"]
            if engine["leaving"] and name not in self._leaving:
                self._leaving.add(name)
                self._history.add(
                    histories.LeavingSeen(time.monotonic(), name)
                )
