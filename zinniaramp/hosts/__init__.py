"""Hosts, data centres and the platform's list of them."""

__all__: list[str] = []
