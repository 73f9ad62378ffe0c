"""The audit trail of changes from the log alone."""

from fireflyspur.audit import audit_trail
from fireflyspur.clients import log_client
from fireflyspur.records import catalog as catalogs

_CONFIG_STREAM = "config"


async def read_trail(log: log_client.LogClient) -> audit_trail.AuditTrail:
    """Return what every node does about the records that the log retains.

    :param log: client of the log
    :raises LogUnavailableError: if the log does not answer
    """
    catalog, trail = catalogs.Catalog(), audit_trail.AuditTrail()
    start = 1
    while True:
        page = await log.read(_CONFIG_STREAM, start)
        for item in page.records:
            result = catalog.apply(item.offset, item.time, item.value)
            trail.add_change(item, result)
        start = page.next
        if start >= page.tail:
            return trail
