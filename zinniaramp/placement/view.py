"""What the cost of a request at an endpoint is derived from."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

from .prompts import Demand

__all__ = ["CostTerm", "EndpointView", "Prediction"]


@dataclass(slots=True, kw_only=True, frozen=True)
class EndpointView:
    """An endpoint that is eligible for a request, as its gateway sees it.

    Parameters
    ----------
    name : str
        Incarnation of the endpoint, identical in all processes.
    data_center : str
        Data centre of the endpoint; empty if it is not known.
    is_remote : bool
        Whether it is in another data centre than the gateway.
    is_cold : bool
        Whether it was started recently and bears only a low rate of requests.
    """

    name: str
    data_center: str = ""
    is_remote: bool = False
    is_cold: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Prediction:
    """Predicted course of a request at one engine.

    Parameters
    ----------
    wait_ms : float
        Time until its prefill begins, in milliseconds.
    prefill_ms : float
        Time of its prefill, in milliseconds.
    prefill_tokens : int
        Prompt tokens that are not in the engine's KV cache.
    """

    wait_ms: float
    prefill_ms: float
    prefill_tokens: int

    @property
    def ttft_ms(self) -> float:
        """Predicted time to first token in milliseconds."""
        return self.wait_ms + self.prefill_ms


CostTerm = Callable[[Demand, EndpointView, Prediction, datetime], float]
"""Harm to callers, in milliseconds, if a request is sent to an endpoint now.

`Placement` adds up all terms, so that none depends on another."""
