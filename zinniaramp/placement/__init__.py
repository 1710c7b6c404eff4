"""Selection of a model engine for each prompt; does no I/O."""

from .core import EngineCandidate, EngineChoice, Placement
from .law import EngineLaw, EngineTraits
from .prompts import Demand, PromptSegment

__all__ = [
    "Demand",
    "EngineCandidate",
    "EngineChoice",
    "EngineLaw",
    "EngineTraits",
    "Placement",
    "PromptSegment",
]
