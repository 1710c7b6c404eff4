"""The endpoint process, which controls all access to one engine or plain service."""

from .core import EndpointProcess

__all__ = ["EndpointProcess"]
