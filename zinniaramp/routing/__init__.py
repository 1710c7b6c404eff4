"""Choice of an endpoint for each attempt, and its limits."""

__all__: list[str] = []
