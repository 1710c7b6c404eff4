"""Settings of a process, read from its INI file when it starts."""

from .core import *  # noqa: F403
from .core import __all__ as _names

__all__ = [*_names]
