"""Checks JSON with comments against typed shapes and names what was expected."""

from heathertack.schema._check import SchemaError, convert_document, parse_document

__all__ = ["SchemaError", "convert_document", "parse_document"]
