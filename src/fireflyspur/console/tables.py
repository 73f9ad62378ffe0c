"""Readable output of decoded JSON."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any


def format_table(
    rows: Iterable[dict[str, Any]], columns: list[str] | None = None
) -> Iterator[str]:
    """Yield the lines of a table.

    :param rows: the rows, each with its cells by column
    :param columns: the columns; None takes all that occur
    """
    rows = list(rows)
    if columns is None:
        columns = list(dict.fromkeys(key for row in rows for key in row))
    table = [
        columns,
        *([format_cell(row.get(name)) for name in columns] for row in rows),
    ]
    widths = [max(map(len, cells)) for cells in zip(*table, strict=True)]
    for cells in table:
        padded = (c.ljust(w) for c, w in zip(cells, widths, strict=True))
        yield "  ".join(padded).rstrip()


def format_view(view: dict[str, Any]) -> Iterator[str]:
    """Yield single values as lines, and lists of objects as tables."""
    for key, value in view.items():
        if not _is_table(value):
            yield f"{key}: {format_cell(value)}"
    for key, value in view.items():
        if _is_table(value):
            yield ""
            yield f"{key}:"
            yield from format_table(value)


def format_cell(value: Any) -> str:
    """Return a value as one cell."""
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case dict():
            pairs = (f"{k}={format_cell(v)}" for k, v in value.items())
            return " ".join(pairs) or "-"
        case list():
            return ",".join(format_cell(v) for v in value) or "-"
        case _:
            return str(value)


def _is_table(value: Any) -> bool:
    return bool(
        isinstance(value, list)
        and value
        and all(isinstance(v, dict) for v in value)
    )
