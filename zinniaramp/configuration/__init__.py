"""Following the published configuration."""

__all__: list[str] = []
