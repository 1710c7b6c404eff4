"""Checked reading of INI text into plain classes."""

from .core import (
    Key,
    Problem,
    Seconds,
    declare_key,
    keys_of,
    read_section,
    read_text,
    section_name,
)

__all__ = [
    "Key",
    "Problem",
    "Seconds",
    "declare_key",
    "keys_of",
    "read_section",
    "read_text",
    "section_name",
]
