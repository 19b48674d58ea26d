"""Parsing of JSON with comments and validation against ``TypedDict`` types."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from functools import cache
from typing import (
    Annotated,
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

from heathertack.decoding import check_depth

#: Longer parts of an error are cut off.
_MAX_ERROR_CHARACTERS = 400

Shape = TypeVar("Shape")


class SchemaError(NamedTuple):
    """Error for a document that does not have the expected type."""

    #: File that contains the document.
    file: str
    #: Path of the invalid value, ``$`` for the whole document.
    path: str
    #: Value or error found at the path.
    found: str
    #: Value or type expected at the path.
    expected: str

    def __str__(self) -> str:
        path, found, expected = map(_shorten, self[1:])
        return f"{self.file}: {path}: found {found}, expected {expected}"


def _shorten(text: str) -> str:
    is_long = len(text) > _MAX_ERROR_CHARACTERS
    return f"{text[:_MAX_ERROR_CHARACTERS]}..." if is_long else text


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
        The decoded values, or the parsing error.
    """
    try:
        return Success(msgspec.json.decode(text))
    except RecursionError:
        return Failure(_describe_nesting(file))
    except ValueError:
        return _parse_with_comments(file, text)


def _parse_with_comments(file: str, text: str) -> Result[object, SchemaError]:
    """Parse a document that is not plain JSON, which is much slower."""
    try:
        value = jsonc.loads(text)
        # The parser accepts text and numbers that can't be encoded again.
        return Success(msgspec.json.decode(msgspec.json.encode(value)))
    except RecursionError:
        return Failure(_describe_nesting(file))
    except (ValueError, OverflowError) as error:
        return Failure(SchemaError(file, "$", str(error), "JSON with comments"))


def _describe_nesting(file: str) -> SchemaError:
    return SchemaError(file, "$", "a nesting that is too deep", "JSON with comments")


def convert_document(
    file: str, value: object, shape: type[Shape]
) -> Result[Shape, SchemaError]:
    """Check a parsed document against a type.

    Parameters
    ----------
    file : str
        Name used in errors.
    value : object
        Parsed document.
    shape : type
        ``TypedDict`` that the document must match.

    Returns
    -------
    Result[Shape, SchemaError]
        The typed document, or the error of the first invalid value.
    """
    depth = check_depth("$", value)
    if isinstance(depth, Failure):
        return Failure(_describe_nesting(file))
    unknown = _find_unknown_field(shape, value, "$")
    if unknown is not None:
        return Failure(unknown._replace(file=file))
    try:
        return Success(msgspec.convert(value, shape))
    except msgspec.ValidationError:
        return Failure(_describe_invalid(shape, value, "$")._replace(file=file))


class _Child(NamedTuple):
    """A value within a document, with the type that it must match."""

    shape: Any
    value: object
    path: str


def _children(shape: Any, value: object, path: str) -> Iterator[_Child]:
    """Yield the direct children of a value."""
    origin = get_origin(shape)
    if is_typeddict(shape) and isinstance(value, Mapping):
        hints = _field_types(shape)
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
    """Return an error for the first field that its ``TypedDict`` does not declare."""
    if is_typeddict(shape) and isinstance(value, Mapping):
        hints = _field_types(shape)
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
    """Return an error for the innermost invalid value."""
    for child in _children(shape, value, path):
        if _validation_error(child.shape, child.value):
            return _describe_invalid(*child)
    found = _validation_error(shape, value)
    return SchemaError("", path, found, _describe_shape(shape))


def _validation_error(shape: Any, value: object) -> str:
    """Return the reason why a value does not match a type, empty if it does."""
    try:
        msgspec.convert(value, shape)
    except msgspec.ValidationError as error:
        return str(error).partition(" - at `")[0]
    return ""


def _describe_shape(shape: Any) -> str:
    if get_origin(shape) is Literal:
        return "one of " + ", ".join(str(option) for option in get_args(shape))
    if get_origin(shape) is Annotated:
        plain, *bounds = get_args(shape)
        return f"{_describe_shape(plain)}{_describe_bounds(tuple(bounds))}"
    if is_typeddict(shape):
        return "the fields " + ", ".join(sorted(shape.__required_keys__))
    return str(getattr(shape, "__name__", shape))


def _unwrap(shape: Any) -> Any:
    """Return the type within ``Required`` or ``NotRequired``."""
    if get_origin(shape) in (Required, NotRequired):
        return get_args(shape)[0]
    return shape


def _describe_bounds(bounds: tuple[Any, ...]) -> str:
    """Return the range that annotations of a type give, empty without one."""
    minimum = [b.ge for b in bounds if isinstance(b, msgspec.Meta) and b.ge is not None]
    maximum = [b.le for b in bounds if isinstance(b, msgspec.Meta) and b.le is not None]
    return "".join(
        (*(f" from {bound}" for bound in minimum), *(f" to {b}" for b in maximum))
    )


@cache
def _field_types(shape: Any) -> dict[str, Any]:
    return get_type_hints(shape, include_extras=True)
