"""Operators' declarations: defaults, classes, workspaces, models, services."""

from .core import *  # noqa: F403
from .core import __all__ as _core_names
from .lookup import class_variants, resolve_class
from .reader import SECTION_CLASSES, read_declarations

__all__ = [
    *_core_names,
    "SECTION_CLASSES",
    "resolve_class",
    "class_variants",
    "read_declarations",
]
