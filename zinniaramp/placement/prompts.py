"""Resource demand of a request to a model engine."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["Demand", "PromptSegment"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PromptSegment:
    """Segment of a prompt, the unit in which engines cache prompts.

    Parameters
    ----------
    name : str
        Identity of the content; equal in all requests that share the segment.
    tokens : int
        Tokens in the segment.
    """

    name: str
    tokens: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Demand:
    """Prompt and output tokens that a request needs from an engine.

    Parameters
    ----------
    prompt_tokens : int
        Tokens in the prompt.
    output_limit : int
        Maximum number of tokens to generate.
    output_estimate : int
        Estimated number of tokens to generate.
    parts : tuple of PromptSegment
        Segments of the prompt in order; the last one is specific to the request.
    target : timedelta
        Target of the time to the first event; 0 if there is none.
    gap_target : timedelta
        Target of the gap between two events; 0 if there is none.
    workspace : str
        Workspace of the caller; empty if there is none.
    urgency : int
        Rank among the requests of all routes; 0 is the most urgent.
    transfer_bytes : int
        Bytes of the request's body; 0 if they are not known.
    """

    prompt_tokens: int
    output_limit: int
    output_estimate: int
    parts: tuple[PromptSegment, ...]
    target: timedelta = timedelta()
    gap_target: timedelta = timedelta()
    workspace: str = ""
    urgency: int = 0
    transfer_bytes: int = 0

    @property
    def shared_prefix(self) -> tuple[PromptSegment, ...]:
        """Segments that other requests may share: all but the last one."""
        return self.parts[:-1]

    @property
    def shared_names(self) -> tuple[str, ...]:
        """Names of the segments that other requests may share."""
        return tuple(segment.name for segment in self.shared_prefix)

    @property
    def own_tokens(self) -> int:
        """Tokens that no other request shares: the last segment and the output."""
        shared = sum(segment.tokens for segment in self.shared_prefix)
        return max(0, self.prompt_tokens - shared) + self.output_estimate

    def affinity_key(self) -> bytes:
        """Return the key by which requests with the same prefix prefer the same engine.

        It joins the names of the shared segments, or of all if none is shared.
        """
        return "/".join(
            segment.name for segment in self.shared_prefix or self.parts
        ).encode()
