"""Small stand-ins for outside systems, as separate processes, for tests."""

from .text import expected_text, expected_tokens

__all__ = ["expected_text", "expected_tokens"]
