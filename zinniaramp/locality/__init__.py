"""Decides which requests leave their data centre when its endpoints are busy."""

from .core import DEFAULT_PRICE, Locality
from .paths import PathLatencies
from .pressure import Pressure, used_share
from .responses import ResponseTimes

__all__ = [
    "DEFAULT_PRICE",
    "Locality",
    "PathLatencies",
    "Pressure",
    "ResponseTimes",
    "used_share",
]
