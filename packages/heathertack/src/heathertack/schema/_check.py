"""Parsing of JSON with comments and checks against ``TypedDict`` shapes."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from functools import cache
from typing import (
    Any,
    Literal,
    NamedTuple,
    NotRequired,
    Required,
    TypeVar,
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
    except msgspec.ValidationError:
        return Failure(_describe_invalid(shape, value, "$")._replace(file=file))


class _Child(NamedTuple):
    """A value within a document, with the shape that it must have."""

    shape: Any
    value: object
    path: str


def _children(shape: Any, value: object, path: str) -> Iterator[_Child]:
    """Yield the values directly within a value."""
    origin = get_origin(shape)
    if is_typeddict(shape) and isinstance(value, Mapping):
        hints = _hints_of(shape)
        for key, item in value.items():
            if key in hints:
                yield _Child(_unwrap(hints[key]), item, f"{path}.{key}")
    elif origin is dict and isinstance(value, Mapping):
        for key, item in value.items():
            yield _Child(_unwrap(get_args(shape)[1]), item, f"{path}.{key}")
    elif origin in (list, tuple) and isinstance(value, list):
        for number, item in enumerate(value):
            yield _Child(_unwrap(get_args(shape)[0]), item, f"{path}[{number}]")


def _find_unknown_field(shape: Any, value: object, path: str) -> SchemaError | None:
    """Return the first field that no ``TypedDict`` of the shape declares."""
    if is_typeddict(shape) and isinstance(value, Mapping):
        hints = _hints_of(shape)
        for key in value:
            if key not in hints:
                known = "one of " + ", ".join(sorted(hints))
                return SchemaError("", f"{path}.{key}", f"unknown field {key!r}", known)
    for child in _children(shape, value, path):
        if isinstance(child.value, (Mapping, list)):
            error = _find_unknown_field(*child)
            if error is not None:
                return error
    return None


def _describe_invalid(shape: Any, value: object, path: str) -> SchemaError:
    """Describe the innermost value that does not fit."""
    for child in _children(shape, value, path):
        if _find_fault(child.shape, child.value):
            return _describe_invalid(*child)
    fault = _find_fault(shape, value)
    return SchemaError("", path, fault, _describe_shape(shape))


def _find_fault(shape: Any, value: object) -> str:
    """Return why a value does not fit a shape, empty if it does."""
    try:
        msgspec.convert(value, shape)
    except msgspec.ValidationError as error:
        return str(error).partition(" - at `")[0]
    return ""


def _describe_shape(shape: Any) -> str:
    if get_origin(shape) is Literal:
        return "one of " + ", ".join(str(option) for option in get_args(shape))
    if is_typeddict(shape):
        return "the fields " + ", ".join(sorted(shape.__required_keys__))
    return str(getattr(shape, "__name__", shape))


def _unwrap(shape: Any) -> Any:
    """Return the shape within ``Required`` or ``NotRequired``."""
    if get_origin(shape) in (Required, NotRequired):
        return get_args(shape)[0]
    return shape


@cache
def _hints_of(shape: Any) -> dict[str, Any]:
    return get_type_hints(shape, include_extras=True)
