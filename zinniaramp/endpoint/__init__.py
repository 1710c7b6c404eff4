"""The endpoint process: sole door to one engine or plain service."""

from .core import EndpointProcess

__all__ = ["EndpointProcess"]
