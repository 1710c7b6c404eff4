"""The daemons: ``zinniarampd`` and the gateway of a platform's entry hosts."""

__all__: list[str] = []
