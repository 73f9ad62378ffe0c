"""Reading of YAML files, with duplicate keys refused."""

import pathlib
from typing import Any

import yaml

from fireflyspur.config import exceptions


class _UniqueKeyLoader(yaml.SafeLoader):
    """A safe loader that refuses a key that appears twice in a mapping."""

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if isinstance(key, (str, int, float, bool)) and key in seen:
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f"duplicate key {key!r}, expected each key once",
                    key_node.start_mark,
                )
            if isinstance(key, (str, int, float, bool)):
                seen.add(key)
        return super().construct_mapping(node, deep)


def load_documents(path: str) -> list[Any]:
    """Read all documents of a YAML file.

    :param path: path of the file
    :returns: the documents; empty ones are left out
    :raises InvalidFileError: if the file cannot be read or parsed
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        # The base is SafeLoader, which builds plain values only.
        loaded = yaml.load_all(text, Loader=_UniqueKeyLoader)  # noqa: S506
        return [document for document in loaded if document is not None]
    except (OSError, ValueError, RecursionError) as error:
        raise exceptions.InvalidFileError(f"{path}: {error}") from error
    except yaml.YAMLError as error:
        raise exceptions.InvalidFileError(
            f"{path}: not valid YAML: {error}"
        ) from error
