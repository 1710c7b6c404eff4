"""What operators declare: defaults, classes, workspaces, models, services."""

from .core import *  # noqa: F403
from .core import __all__ as _core_names
from .reader import read_declarations

__all__ = [*_core_names, "read_declarations"]
