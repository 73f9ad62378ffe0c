"""Configuration of structured logging."""

import json
import sys
from typing import Any
from typing import TYPE_CHECKING

import loguru

from fireflyspur.observability import bounded_writer

if TYPE_CHECKING:
    from collections.abc import Callable

_HUMAN_FORMAT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[part]}: {message}"
    "{extra[fields]}"
)


def log_for(part: str) -> Any:
    """Return the logger of a part of the program.

    :param part: fixed prefix of the part's lines, such as ``claims``
    :returns: a loguru logger bound to the part
    """
    return loguru.logger.bind(part=part)


def configure(
    level: str = "INFO", log_format: str = "human", node: str = ""
) -> None:
    """Write all logs to standard error.

    :param level: lowest level that is written
    :param log_format: ``human`` or ``json``
    :param node: name of the node, added to JSON lines
    """
    loguru.logger.remove()
    loguru.logger.configure(
        extra={"part": "main", "fields": ""}, patcher=_add_fields
    )
    if log_format == "json":
        loguru.logger.add(
            _json_sink(node, _write_stderr), level=level, format="{message}"
        )
    else:
        loguru.logger.add(sys.stderr, level=level, format=_HUMAN_FORMAT)


def configure_stdout(level: str, node: str) -> None:
    """Write all logs to standard output, as JSON and without blocking.

    :param level: lowest level that is written
    :param node: name of the node, added to each line
    """

    def format_dropped(count: int) -> str:
        return json.dumps(
            {
                "level": "WARNING",
                "node": node,
                "message": "Lines dropped",
                "part": "logs",
                "count": count,
            }
        )

    writer = bounded_writer.BoundedWriter(sys.stdout.fileno(), format_dropped)
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "main"})
    loguru.logger.add(
        _json_sink(node, writer.write), level=level, format="{message}"
    )


def _add_fields(record: Any) -> None:
    extra = record["extra"]
    pairs = [
        f"{key}={_escape(value)}"
        for key, value in extra.items()
        if key not in ("part", "fields")
    ]
    extra["fields"] = " [" + " ".join(pairs) + "]" if pairs else ""


def _escape(value: Any) -> str:
    """Escape control characters, so that a value cannot forge a line."""
    text = str(value)
    return text if text.isprintable() else repr(text)


def _write_stderr(line: str) -> None:
    sys.stderr.write(line + "\n")


def _json_sink(
    node: str, write_line: "Callable[[str], None]"
) -> "Callable[[Any], None]":
    def write(message: Any) -> None:
        record = message.record
        line = {
            "time": record["time"].isoformat(),
            "level": record["level"].name,
            "node": node,
            "message": record["message"],
        }
        extra = record["extra"]
        line.update({k: v for k, v in extra.items() if k != "fields"})
        write_line(json.dumps(line, default=str))

    return write
