"""Daemons: ``zinniarampd``, and the gateway that runs on a platform's entry hosts."""

__all__: list[str] = []
