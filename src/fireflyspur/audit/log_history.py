"""Audit trail of configuration changes, rebuilt from the log."""

from fireflyspur.audit import audit_trail
from fireflyspur.clients import log_client
from fireflyspur.records import catalog as catalogs

_CONFIG_STREAM = "config"


async def read_trail(log: log_client.LogClient) -> audit_trail.AuditTrail:
    """Return the audit trail of the records that the log retains.

    It has the result of applying each record, from the first retained one.

    :param log: client of the log
    :raises LogUnavailableError: if the log does not respond
    """
    catalog, trail = catalogs.Catalog(), audit_trail.AuditTrail()
    start = 1
    while True:
        page = await log.read(_CONFIG_STREAM, start)
        for log_record in page.records:
            result = catalog.apply(
                log_record.offset, log_record.time, log_record.value
            )
            trail.add_change(log_record, result)
        start = page.next
        if start >= page.tail:
            return trail
