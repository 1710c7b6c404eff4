"""Measurements of a fleet on loopback, each from one command."""

__all__: list[str] = []
