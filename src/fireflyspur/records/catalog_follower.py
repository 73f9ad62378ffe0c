"""Following of the ``config`` stream."""

import asyncio
from collections.abc import Callable
import time

from fireflyspur.audit import audit_trail
from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.observability import logs
from fireflyspur.records import catalog as catalogs

CONFIG_STREAM = "config"

_RETRY_S = 0.2

_log = logs.log_for("records")


class CatalogFollower:
    """Keeps a catalog up to date with the log.

    :param log: client of the log
    :param catalog: the catalog to keep
    :param trail: told of each change and of what was refused
    :param poll_wait_s: seconds for which a read waits for new records
    """

    def __init__(
        self,
        log: log_client.LogClient,
        catalog: catalogs.Catalog,
        trail: audit_trail.AuditTrail,
        poll_wait_s: float,
    ) -> None:
        self._log = log
        self._catalog = catalog
        self._trail = trail
        self._poll_wait_s = poll_wait_s
        self._next = 1
        self._log_reachable = False
        self._tail_read_at: float | None = None
        self._loaded = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []

    @property
    def catalog(self) -> catalogs.Catalog:
        """The catalog that is kept."""
        return self._catalog

    @property
    def is_loaded(self) -> bool:
        """Whether the catalog is complete as of some moment."""
        return self._loaded.is_set()

    @property
    def is_log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._log_reachable

    @property
    def tail_read_at(self) -> float | None:
        """Monotonic time of the last read that reached the tail."""
        return self._tail_read_at

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the catalog."""
        self._listeners.append(listener)

    async def wait_loaded(self) -> None:
        """Wait until the catalog is complete as of some moment."""
        await self._loaded.wait()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self.read_once()
            except exceptions.LogUnavailableError as error:
                if self._log_reachable:
                    _log.warning("Log unreachable: {}", error)
                self._log_reachable = False
                await asyncio.sleep(_RETRY_S)

    async def read_once(self) -> None:
        """Read one page and apply it.

        :raises LogUnavailableError: if the log does not answer
        """
        wait_s = self._poll_wait_s if self._loaded.is_set() else 0.0
        page = await self._log.read(CONFIG_STREAM, self._next, wait_s=wait_s)
        self._log_reachable = True
        for item in page.records:
            self._apply(item)
        self._next = max(self._next, page.next)
        if self._next >= page.tail:
            self._tail_read_at = time.monotonic()
            self._loaded.set()
        if page.records:
            self._notify()

    def _apply(self, item: log_client.LogRecord) -> None:
        result = self._catalog.apply(item.offset, item.time, item.value)
        self._trail.add_change(item, result)
        match result:
            case catalogs.Rejected(errors):
                _log.warning(
                    "Record at offset {} refused: {}",
                    item.offset,
                    "; ".join(errors),
                )
            case catalogs.Superseded(by):
                winner = by.offset if by else None
                _log.info(
                    "Record at offset {} lost against offset {}",
                    item.offset,
                    winner,
                )
            case catalogs.Accepted(entry):
                _log.info(
                    "Record {}/{} in force at offset {}",
                    *entry.key,
                    item.offset,
                )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
