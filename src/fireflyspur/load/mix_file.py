"""Reading of the file that describes a mix of requests."""

import msgspec

from fireflyspur.config import exceptions
from fireflyspur.config import json_schema
from fireflyspur.config import yaml_file
from fireflyspur.generated import load_mix


def load(path: str) -> load_mix.LoadMix:
    """Read a mix and check it.

    :raises InvalidFileError: naming each key and what was expected
    """
    documents = yaml_file.load_documents(path)
    if len(documents) != 1:
        raise exceptions.InvalidFileError(
            f"{path}: expected one document, found {len(documents)}"
        )
    errors = json_schema.find_errors("load_mix", documents[0])
    if not errors:
        mix = msgspec.convert(documents[0], load_mix.LoadMix)
        errors = _find_conflicts(mix)
    if errors:
        raise exceptions.InvalidFileError(
            "\n".join(f"{path}: {line}" for line in errors)
        )
    return mix


def _find_conflicts(mix: load_mix.LoadMix) -> list[str]:
    """Check what the schema cannot express."""
    errors = []
    names = [bin_.name for bin_ in mix.lengths]
    if len(set(names)) < len(names):
        errors.append("lengths: expected names that differ")
    if mix.swing.low > mix.swing.high:
        errors.append("swing: expected low not above high")
    for bin_ in mix.lengths:
        if bin_.min_tokens > bin_.max_tokens:
            errors.append(f"lengths: {bin_.name}: min_tokens > max_tokens")
        if bin_.min_output_tokens > bin_.max_output_tokens:
            errors.append(
                f"lengths: {bin_.name}: min_output_tokens > max_output_tokens"
            )
    for account in mix.accounts:
        for name in set(account.lengths) - set(names):
            errors.append(f"accounts: {account.name}: no bin {name!r}")
    return errors
