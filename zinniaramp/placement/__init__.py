"""Selection of a model engine for each prompt; does no I/O."""

from .core import Candidate, Choice, Placement
from .prompts import Demand, PromptPart

__all__ = ["Candidate", "Choice", "Demand", "Placement", "PromptPart"]
