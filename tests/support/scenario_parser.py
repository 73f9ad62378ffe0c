"""Parser of the scenario language."""

import dataclasses
import pathlib
from typing import Any

import lark

_GRAMMAR = pathlib.Path(__file__).parents[1] / "scenarios" / "language.lark"


@dataclasses.dataclass(frozen=True)
class Statement:
    """One line of a scenario.

    :param kind: name of the grammar's rule
    :param words: names and numbers in the order of the line; None for a part
        that is left out
    :param options: the ``key=value`` pairs
    """

    kind: str
    words: tuple[Any, ...]
    options: dict[str, Any]
    line: int


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A text of the scenario language.

    :param variable: word that stands for one of the values, or empty
    :param values: values that the scenario is to be run with, one at a time
    """

    title: str
    statements: list[Statement]
    variable: str = ""
    values: tuple[str, ...] = ()

    def with_value(self, value: str) -> "Scenario":
        """Return the scenario with a value in place of the variable."""
        statements = [
            dataclasses.replace(
                s,
                words=tuple(self._put(w, value) for w in s.words),
                options={k: self._put(v, value) for k, v in s.options.items()},
            )
            for s in self.statements
        ]
        return Scenario(f"{self.title} ({value})", statements)

    def _put(self, word: Any, value: str) -> Any:
        return value if word == self.variable else word


class _Builder(lark.Transformer):
    def STRING(self, token):
        return token[1:-1]

    def NUMBER(self, token):
        return float(token)

    def INT(self, token):
        return int(token)

    def option(self, children):
        key, value = children
        if value in ("true", "false"):
            value = value == "true"
        return {str(key): str(value) if isinstance(value, str) else value}

    def options(self, children):
        return {k: v for pair in children for k, v in pair.items()}

    def start(self, children):
        title, each, *statements = children
        name, *values = map(str, each.children) if each else ("",)
        return Scenario(title.children[0], statements, name, tuple(values))


def _statement(tree: lark.Tree) -> Statement:
    options: dict[str, Any] = {}
    words = []
    for child in tree.children:
        if isinstance(child, dict):
            options.update(child)
        else:
            words.append(str(child) if isinstance(child, str) else child)
    return Statement(tree.data, tuple(words), options, tree.meta.line)


def parse(text: str) -> Scenario:
    """Return the scenario of a text.

    :raises lark.LarkError: if a line is not in the language
    """
    parser = lark.Lark(
        _GRAMMAR.read_text("utf-8"),
        propagate_positions=True,
        maybe_placeholders=True,
    )
    built = _Builder().transform(parser.parse(text.rstrip() + "\n"))
    statements = [_statement(s) for s in built.statements]
    return dataclasses.replace(built, statements=statements)
