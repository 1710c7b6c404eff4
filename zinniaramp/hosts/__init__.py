"""Hosts, data centres and the platform's list of them."""

from .core import Host, HostState, HostView

__all__ = ["Host", "HostState", "HostView"]
