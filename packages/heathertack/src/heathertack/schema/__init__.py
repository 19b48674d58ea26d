"""Validates JSON with comments against ``TypedDict`` types."""

from heathertack.schema._check import SchemaError, convert_document, parse_document

__all__ = ["SchemaError", "convert_document", "parse_document"]
