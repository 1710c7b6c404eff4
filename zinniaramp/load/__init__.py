"""Open-loop load and its report."""

__all__: list[str] = []
