"""Revisions of the published configuration, fetched from the service or from peers."""

from .core import ConfigurationError, RevisionStore, receives_nothing
from .exchange import (
    accept_revision,
    apply_sections,
    handle_revision_message,
    make_sections_reply,
)
from .follower import ConfigurationFollower, FollowerLimits, is_reader
from .sections import (
    PublishedRevision,
    Section,
    SectionsError,
    make_section,
    verify_published,
)

__all__ = [
    "ConfigurationError",
    "ConfigurationFollower",
    "FollowerLimits",
    "PublishedRevision",
    "RevisionStore",
    "Section",
    "SectionsError",
    "accept_revision",
    "apply_sections",
    "handle_revision_message",
    "is_reader",
    "make_section",
    "make_sections_reply",
    "receives_nothing",
    "verify_published",
]
