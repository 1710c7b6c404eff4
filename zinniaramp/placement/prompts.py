"""What a request asks of a model engine."""

from dataclasses import dataclass

__all__ = ["Demand", "PromptPart"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PromptPart:
    """One part of a prompt; requests that share it have it under one name."""

    name: str
    tokens: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Demand:
    """Tokens of a request.

    Parameters
    ----------
    prompt_tokens : int
        Tokens to read.
    output_limit, output_guess : int
        Most tokens to generate, and the caller's estimate.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    most_chunks : int or None
        Whole chunks that its engine may read in a row beside its stream; None if
        any number.
    """

    prompt_tokens: int
    output_limit: int
    output_guess: int
    parts: tuple[PromptPart, ...]
    most_chunks: int | None = None

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may have as well."""
        return self.parts[:-1]

    def affinity_key(self) -> bytes:
        """Return the name of the longest shared beginning."""
        return "/".join(part.name for part in self.shared or self.parts).encode()
