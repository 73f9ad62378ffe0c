"""Publication of operators' records."""

import asyncio
import time
from typing import Any
import uuid

from fireflyspur.clients import exceptions as client_exceptions
from fireflyspur.clients import log_client
from fireflyspur.records import catalog as catalogs
from fireflyspur.records import catalog_follower
from fireflyspur.records import exceptions
from fireflyspur.records import record

_READ_BACK_S = 10.0
_RETRY_S = 0.2


class RecordPublisher:
    """Appends records and reads them back to learn what became of them.

    :param log: client of the log
    """

    def __init__(self, log: log_client.LogClient) -> None:
        self._log = log

    async def load(self) -> catalogs.Catalog:
        """Return the catalog at the log's tail.

        :raises LogUnavailableError: if the log does not answer
        """
        catalog, _ = await self._read_all(None)
        return catalog

    async def publish(
        self, value: dict[str, Any], author: str
    ) -> record.Entry:
        """Publish one record.

        :param value: the record
        :param author: who publishes it
        :returns: the entry that is in force
        :raises InvalidRecordError: if the record does not pass its schema
        :raises RecordBeatenError: if another record is in force instead
        :raises LogUnavailableError: if the log refused the record
        :raises PublicationUnknownError: if the record may be in the log
        """
        errors = record.find_envelope_errors(value)
        # Of a newer schema version, nodes judge the envelope alone.
        if not errors and value["schema_version"] <= record.SCHEMA_VERSION:
            errors = record.find_spec_errors(value)
        if errors:
            raise exceptions.InvalidRecordError("; ".join(errors))
        uid = str(uuid.uuid4())
        sent = {**value, "uid": uid, "author": author}
        try:
            await self._log.append(catalog_follower.CONFIG_STREAM, [sent])
        except client_exceptions.LogUnavailableError as error:
            # The record may have been appended although the answer was lost.
            result = await self._find_result(uid, error)
        else:
            result = (await self._read_all(uid))[1]
        match result:
            case catalogs.Accepted(entry):
                return entry
            case catalogs.Superseded(by):
                raise exceptions.RecordBeatenError(_describe_winner(by))
            case catalogs.Rejected(reasons):
                raise exceptions.InvalidRecordError("; ".join(reasons))
            case _:
                raise exceptions.PublicationUnknownError(
                    "the record was not found in the log"
                )

    async def _find_result(
        self, uid: str, cause: client_exceptions.LogUnavailableError
    ) -> catalogs.ApplyResult:
        deadline = time.monotonic() + _READ_BACK_S
        while time.monotonic() < deadline:
            try:
                result = (await self._read_all(uid))[1]
            except client_exceptions.LogUnavailableError:
                result = None
            if result is not None:
                return result
            await asyncio.sleep(_RETRY_S)
        raise exceptions.PublicationUnknownError(
            f"the log's answer was lost and the record was not found: {cause}"
        ) from cause

    async def _read_all(
        self, uid: str | None
    ) -> tuple[catalogs.Catalog, catalogs.ApplyResult | None]:
        catalog = catalogs.Catalog()
        found, found_at, start = None, None, 1
        while True:
            page = await self._log.read(catalog_follower.CONFIG_STREAM, start)
            if page.first > start:
                catalog.mark_gap(page.first)
            for item in page.records:
                result = catalog.apply(item.offset, item.time, item.value)
                if uid is not None and item.value.get("uid") == uid:
                    found, found_at = result, item.offset
                elif isinstance(result, catalogs.Restored):
                    found = result.judged.get(found_at, found)
            start = page.next
            if start >= page.tail:
                # Without a snapshot, what the log still has must do.
                return catalog, catalog.close_gap().judged.get(found_at, found)


def _describe_winner(entry: record.Entry | None) -> str:
    if entry is None:
        return "no version of this record is in force, so based_on must be 0"
    author = entry.value.get("author", "unknown")
    return (
        f"{entry.key[0]}/{entry.key[1]} at offset {entry.offset} is in force,"
        f" published by {author} at {entry.timestamp}"
    )
