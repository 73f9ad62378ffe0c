"""Validation against the JSON Schemas in the package."""

import functools
import importlib.resources
from typing import Any

import jsonschema
import yaml


@functools.cache
def load_schema(name: str) -> dict[str, Any]:
    """Return a schema of the package.

    :param name: name of the schema, such as ``settings`` or ``records``
    """
    source = importlib.resources.files("fireflyspur.schema")
    return yaml.safe_load((source / f"{name}.yaml").read_text("utf-8"))


@functools.cache
def _make_validator(
    name: str, definition: str, strict: bool
) -> jsonschema.Draft202012Validator:
    schema = load_schema(name)
    if strict:
        schema = {
            **schema,
            "$defs": {
                key: {**value, "additionalProperties": False}
                for key, value in schema["$defs"].items()
            },
        }
    if definition:
        schema = {**schema["$defs"][definition], "$defs": schema["$defs"]}
    return jsonschema.Draft202012Validator(
        schema, format_checker=jsonschema.FormatChecker()
    )


def find_errors(
    name: str, value: Any, definition: str = "", *, strict: bool = False
) -> list[str]:
    """Validate a value against a schema.

    :param name: name of the schema
    :param value: the decoded value
    :param definition: name of a definition in the schema, or empty for the
        root
    :param strict: reject keys that the definitions do not have
    :returns: one line for each error, with the key and the expected value
    """
    errors = _make_validator(name, definition, strict).iter_errors(value)
    lines = [_describe(e) for e in sorted(errors, key=lambda e: str(e.path))]
    return list(dict.fromkeys(lines))


def _describe(error: jsonschema.ValidationError) -> str:
    key = ".".join(str(part) for part in error.absolute_path) or "(top)"
    match error.validator:
        case "type":
            expected = f"expected {error.validator_value}"
        case "minimum" | "maximum" | "exclusiveMinimum" | "exclusiveMaximum":
            expected = f"expected {error.validator} {error.validator_value}"
        case "pattern":
            expected = f"expected a match of {error.validator_value}"
        case "enum":
            names = ", ".join(str(v) for v in error.validator_value)
            expected = f"expected one of {names}"
        case "additionalProperties":
            known_keys = error.schema["properties"]
            unknown_keys = ", ".join(
                repr(name) for name in error.instance if name not in known_keys
            )
            return (
                f"{key}: unknown key {unknown_keys:.200}, expected one of"
                f" {', '.join(known_keys)}"
            )
        case "required":
            missing_keys = ", ".join(
                name
                for name in error.validator_value
                if name not in error.instance
            )
            return f"{key}: expected the keys {missing_keys}, found none"
        case _:
            return f"{key}: {error.message}"
    return f"{key}: {expected}, found {error.instance!r:.80}"
