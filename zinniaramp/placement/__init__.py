"""Choice of a model engine for each prompt, without a network."""

from .core import Choice, EngineRequest, Placement
from .prompts import Demand, PromptPart

__all__ = ["Choice", "Demand", "EngineRequest", "Placement", "PromptPart"]
