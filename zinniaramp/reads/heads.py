"""Completeness of the header blocks that libcurl delivers."""

from collections.abc import Sequence

__all__ = ["has_whole_head"]

LINE_ENDS = ("\r\n", "\n")
"""Empty lines, which end a header block."""


def has_whole_head(lines: Sequence[str]) -> bool:
    """Return whether the last header block of an answer is whole.

    libcurl reports success if a connection closes within the header block of an answer
    without a length, with the status that it has read and an empty body.

    Parameters
    ----------
    lines : sequence of str
        Lines as libcurl delivered them, with their ends; interim answers come first.
    """
    starts = [number for number, line in enumerate(lines) if line.startswith("HTTP/")]
    return bool(starts) and any(line in LINE_ENDS for line in lines[starts[-1] :])
