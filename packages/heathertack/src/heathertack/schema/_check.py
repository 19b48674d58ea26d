"""Parsing of JSON with comments and checks against ``TypedDict`` shapes."""

from __future__ import annotations

from collections.abc import Mapping
from functools import cache
from types import NoneType, UnionType
from typing import (
    Any,
    NamedTuple,
    NotRequired,
    Required,
    TypeVar,
    Union,
    get_args,
    get_origin,
    get_type_hints,
    is_typeddict,
)

import jsonc
import msgspec
from returns.result import Failure, Result, Success

Shape = TypeVar("Shape")


class SchemaError(NamedTuple):
    """A document that does not have the expected shape."""

    #: File the document came from.
    file: str
    #: Path of the offending value, ``$`` being the whole document.
    path: str
    #: What was found there.
    found: str
    #: What was expected there.
    expected: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: found {self.found}, expected {self.expected}"


def parse_document(file: str, text: str) -> Result[object, SchemaError]:
    """Parse JSON with comments.

    Parameters
    ----------
    file : str
        Name used in errors.
    text : str
        The document.

    Returns
    -------
    Result[object, SchemaError]
        The plain values, or where parsing stopped.
    """
    try:
        return Success(msgspec.json.decode(text))
    except msgspec.DecodeError:
        return _parse_with_comments(file, text)


def _parse_with_comments(file: str, text: str) -> Result[object, SchemaError]:
    """Parse a document that is no plain JSON; this is much slower."""
    try:
        return Success(jsonc.loads(text))
    except ValueError as error:
        return Failure(SchemaError(file, "$", str(error), "JSON with comments"))


def convert_document(
    file: str, value: object, shape: type[Shape]
) -> Result[Shape, SchemaError]:
    """Check a parsed document against a shape.

    Parameters
    ----------
    file : str
        Name used in errors.
    value : object
        Parsed document.
    shape : type
        The ``TypedDict`` that the document must have.

    Returns
    -------
    Result[Shape, SchemaError]
        The typed document, or the first value that does not fit.
    """
    unknown = _find_unknown_field(shape, value, "$")
    if unknown is not None:
        return Failure(unknown._replace(file=file))
    try:
        return Success(msgspec.convert(value, shape))
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `")
        where = path.rstrip("`") or "$"
        return Failure(SchemaError(file, where, message, "a valid value"))


def _find_unknown_field(shape: Any, value: object, path: str) -> SchemaError | None:
    """Return the first field that no ``TypedDict`` of the shape declares."""
    origin = get_origin(shape)
    if origin in (Required, NotRequired):
        return _find_unknown_field(get_args(shape)[0], value, path)
    if origin in (Union, UnionType):
        return _find_in_union(get_args(shape), value, path)
    if is_typeddict(shape) and isinstance(value, Mapping):
        return _find_in_typed_dict(shape, value, path)
    if origin is dict and isinstance(value, Mapping):
        inner = get_args(shape)[1]
        items = ((inner, item, f"{path}.{key}") for key, item in value.items())
    elif origin in (list, tuple) and isinstance(value, list):
        inner = get_args(shape)[0]
        items = ((inner, item, f"{path}[{i}]") for i, item in enumerate(value))
    else:
        return None
    found = (_find_unknown_field(*item) for item in items)
    return next((error for error in found if error is not None), None)


@cache
def _hints_of(shape: Any) -> dict[str, Any]:
    return get_type_hints(shape, include_extras=True)


def _find_in_union(
    options: tuple[Any, ...], value: object, path: str
) -> SchemaError | None:
    if value is None:
        return None
    shapes = [option for option in options if option is not NoneType]
    errors = [_find_unknown_field(shape, value, path) for shape in shapes]
    return None if None in errors else errors[0]


def _find_in_typed_dict(
    shape: Any, value: Mapping[str, object], path: str
) -> SchemaError | None:
    hints = _hints_of(shape)
    for key, item in value.items():
        if key not in hints:
            known = "one of " + ", ".join(sorted(hints))
            return SchemaError("", f"{path}.{key}", f"unknown field {key!r}", known)
        error = _find_unknown_field(hints[key], item, f"{path}.{key}")
        if error is not None:
            return error
    return None
