"""Settings of one process, read from its INI file at start."""

from .core import *  # noqa: F403
from .core import __all__ as _names

__all__ = [*_names]
