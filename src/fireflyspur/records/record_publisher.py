"""Publication of records by operators."""

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

_READ_BACK_TIMEOUT_S = 10.0
_RETRY_DELAY_S = 0.2


class RecordPublisher:
    """Appends records and reads them back to learn whether they took effect.

    :param log: client of the log
    """

    def __init__(self, log: log_client.LogClient) -> None:
        self._log = log

    async def load(self) -> catalogs.Catalog:
        """Return the catalog at the log's tail.

        :raises LogUnavailableError: if the log does not respond
        """
        catalog, _ = await self._read_all(None)
        return catalog

    async def publish(
        self, value: dict[str, Any], author: str
    ) -> record.Entry:
        """Publish one record.

        :param value: the record
        :param author: who publishes it
        :returns: the entry, now in force
        :raises InvalidRecordError: if the record does not pass its schema
        :raises RecordSupersededError: if another record is in force instead
        :raises LogUnavailableError: if the log refused the record
        :raises PublicationUnknownError: if the record may be in the log
        """
        errors = record.find_envelope_errors(value)
        # Nodes validate only the envelope of a newer schema version.
        if not errors and value["schema_version"] <= record.SCHEMA_VERSION:
            errors = record.find_spec_errors(value)
        if errors:
            raise exceptions.InvalidRecordError("; ".join(errors))
        uid = str(uuid.uuid4())
        stamped = {**value, "uid": uid, "author": author}
        try:
            await self._log.append(catalog_follower.CONFIG_STREAM, [stamped])
        except client_exceptions.LogUnavailableError as error:
            # The record may have been appended although the response was lost.
            result = await self._find_result(uid, error)
        else:
            result = (await self._read_all(uid))[1]
        match result:
            case catalogs.Accepted(entry):
                return entry
            case catalogs.Superseded(by):
                raise exceptions.RecordSupersededError(_describe_current(by))
            case catalogs.Rejected(reasons):
                raise exceptions.InvalidRecordError("; ".join(reasons))
            case _:
                raise exceptions.PublicationUnknownError(
                    "the record was not found in the log"
                )

    async def _find_result(
        self, uid: str, cause: client_exceptions.LogUnavailableError
    ) -> catalogs.ApplyResult:
        deadline = time.monotonic() + _READ_BACK_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                result = (await self._read_all(uid))[1]
            except client_exceptions.LogUnavailableError:
                result = None
            if result is not None:
                return result
            await asyncio.sleep(_RETRY_DELAY_S)
        raise exceptions.PublicationUnknownError(
            "the log's response was lost and the record was not found in the"
            f" log: {cause}"
        ) from cause

    async def _read_all(
        self, uid: str | None
    ) -> tuple[catalogs.Catalog, catalogs.ApplyResult | None]:
        catalog = catalogs.Catalog()
        own_result, own_offset, start = None, None, 1
        while True:
            page = await self._log.read(catalog_follower.CONFIG_STREAM, start)
            if page.first > start:
                catalog.mark_gap(page.first)
            for log_record in page.records:
                result = catalog.apply(
                    log_record.offset, log_record.time, log_record.value
                )
                if uid is not None and log_record.value.get("uid") == uid:
                    own_result, own_offset = result, log_record.offset
                elif isinstance(result, catalogs.Restored):
                    own_result = result.deferred_results.get(
                        own_offset, own_result
                    )
            start = page.next
            if start >= page.tail:
                # If no snapshot restored the expired records, apply the
                # retained ones without them.
                return catalog, catalog.close_gap().deferred_results.get(
                    own_offset, own_result
                )


def _describe_current(entry: record.Entry | None) -> str:
    if entry is None:
        return "no version of this record is in force: set based_on to 0"
    author = entry.value.get("author", "unknown")
    return (
        f"{entry.key[0]}/{entry.key[1]} at offset {entry.offset} is in force,"
        f" published by {author} at {entry.timestamp}"
    )
