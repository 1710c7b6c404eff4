"""What operators declare: defaults, classes, workspaces, models, services."""

from .core import *  # noqa: F403
from .core import __all__ as _names

__all__ = [*_names]
