"""Parsing and validation of INI files into dataclasses."""

from .core import (
    Key,
    Problem,
    Seconds,
    declare_key,
    declare_section_name,
    list_keys,
    parse_ini,
    read_section,
)

__all__ = [
    "Key",
    "Problem",
    "Seconds",
    "declare_key",
    "declare_section_name",
    "list_keys",
    "parse_ini",
    "read_section",
]
