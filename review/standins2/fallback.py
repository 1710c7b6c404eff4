"""A library that the gateway imports and that the deploy file's build doesn't install.

Case 7 is about that.  So that the other cases can run on a machine whose Python lacks
it, a small replacement can be put on Python's path; it has only what the gateway uses.
"""

import importlib.util
from pathlib import Path

__all__ = ["REPLACEMENT", "needed_libraries"]

REPLACEMENT = Path(__file__).resolve().parent / "replacement"
"""Directory of the replacement."""


def needed_libraries() -> tuple[Path, ...]:
    """Return the directory of the replacement if this Python lacks the library."""
    if importlib.util.find_spec("sortedcontainers") is not None:
        return ()
    return (REPLACEMENT,)
