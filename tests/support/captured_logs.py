"""Log lines that a test can look at."""

import contextlib

import loguru


@contextlib.contextmanager
def capture():
    """Collect the records that are logged meanwhile."""
    records = []
    sink = loguru.logger.add(
        lambda message: records.append(message.record), level="DEBUG"
    )
    try:
        yield records
    finally:
        loguru.logger.remove(sink)
