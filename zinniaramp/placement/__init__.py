"""Selection of a model engine for each prompt; does no I/O."""

from .core import EngineChoice, Placement
from .law import EngineLaw, EngineTraits
from .prompts import Demand, PromptSegment
from .view import CostTerm, EndpointView, Prediction

__all__ = [
    "CostTerm",
    "Demand",
    "EndpointView",
    "EngineChoice",
    "EngineLaw",
    "EngineTraits",
    "Placement",
    "Prediction",
    "PromptSegment",
]
