"""Following the published configuration."""

from .core import ConfigurationError, RevisionStore

__all__ = ["ConfigurationError", "RevisionStore"]
