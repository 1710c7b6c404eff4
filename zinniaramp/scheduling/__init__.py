"""Order, admission and preemption at one endpoint."""

__all__: list[str] = []
