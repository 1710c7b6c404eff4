"""Tickets for non-repeatable requests."""

__all__: list[str] = []
