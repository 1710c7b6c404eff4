"""Revisions of the published configuration, fetched from the service or from peers."""

from .core import ConfigurationError, RevisionStore
from .exchange import (
    apply_sections,
    exchange_revisions,
    sections_reply,
    take_revision,
)
from .follower import ConfigurationFollower, FollowerLimits, is_reader
from .sections import Published, Section, SectionsError, make_section, read_published

__all__ = [
    "ConfigurationError",
    "ConfigurationFollower",
    "FollowerLimits",
    "Published",
    "RevisionStore",
    "Section",
    "SectionsError",
    "apply_sections",
    "exchange_revisions",
    "is_reader",
    "make_section",
    "read_published",
    "sections_reply",
    "take_revision",
]
