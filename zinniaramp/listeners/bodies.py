"""Memory that request bodies take while they are received."""

__all__ = ["CHUNKED_BYTES"]

CHUNKED_BYTES = 48 * 1024
"""Memory in which the library collects the chunks of one body, three times the size of
a read; it is free when the body is complete."""
