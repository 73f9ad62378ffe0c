"""Reader for YAML files that rejects duplicate keys."""

import pathlib
from typing import Any

import yaml

from fireflyspur.config import exceptions


class _UniqueKeyLoader(yaml.SafeLoader):
    """A safe loader that rejects duplicate keys in a mapping."""

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        keys = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if isinstance(key, (str, int, float, bool)) and key in keys:
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f"duplicate key {key!r}, expected each key once",
                    key_node.start_mark,
                )
            if isinstance(key, (str, int, float, bool)):
                keys.add(key)
        return super().construct_mapping(node, deep)


def load_documents(path: str) -> list[Any]:
    """Read all documents of a YAML file.

    :param path: path of the file
    :returns: the documents, without empty ones
    :raises InvalidFileError: if the file cannot be read or parsed
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        # The base class is SafeLoader, which creates only plain values.
        documents = yaml.load_all(text, Loader=_UniqueKeyLoader)  # noqa: S506
        return [document for document in documents if document is not None]
    except (OSError, ValueError, RecursionError) as error:
        raise exceptions.InvalidFileError(f"{path}: {error}") from error
    except yaml.YAMLError as error:
        raise exceptions.InvalidFileError(
            f"{path}: not valid YAML: {error}"
        ) from error
