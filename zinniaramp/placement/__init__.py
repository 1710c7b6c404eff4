"""Choice of a model engine for each prompt, without a network."""

from .core import Candidate, Choice, Placement
from .prompts import Demand, PromptPart

__all__ = ["Candidate", "Choice", "Demand", "Placement", "PromptPart"]
