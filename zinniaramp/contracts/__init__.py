"""Typed messages between the processes of a fleet, and their wire encoding."""

from .codec import *  # noqa: F403
from .codec import __all__ as _codec_names
from .core import *  # noqa: F403
from .core import __all__ as _core_names

__all__ = [*_core_names, *_codec_names]
