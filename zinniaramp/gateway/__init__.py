"""The entry of a platform without endpoint processes: forwards by route."""

from .core import Gateway, GatewaySettings
from .messages import AnswerFacts, RequestFacts, SendOrders, Wire

__all__ = [
    "AnswerFacts",
    "Gateway",
    "GatewaySettings",
    "RequestFacts",
    "SendOrders",
    "Wire",
]
