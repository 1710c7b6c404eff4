"""Experiments that measure a fleet on loopback, each run by one command."""

__all__: list[str] = []
