"""Simple replacements for external systems, run as separate processes in tests."""

from .text import expected_text, expected_tokens

__all__ = ["expected_text", "expected_tokens"]
