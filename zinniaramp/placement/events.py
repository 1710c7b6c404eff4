"""Log events of the placement, 2200 to 2299."""

from ..observability import declare_event

__all__ = ["ENGINE_LAW_CHANGED", "ENGINE_SPEED_CHANGED"]

ENGINE_LAW_CHANGED = declare_event(
    number=2200,
    name="engine-law-changed",
    level="INFO",
    meaning="The estimated law of a service's engines changed; `prefills`, `steps` and "
    "`chunks` are the numbers of samples behind it.",
    fields=(
        "service",
        "prefill_tokens_per_ms",
        "overhead_ms",
        "decode_ms",
        "decode_ms_per_stream",
        "chunk_tokens",
        "prefills",
        "steps",
        "chunks",
    ),
)
ENGINE_SPEED_CHANGED = declare_event(
    number=2201,
    name="engine-speed-changed",
    level="INFO",
    meaning="The estimated speed of an engine changed.  `factor` is its time relative "
    "to the median engine of its service, `lasting` the same without a present "
    "disturbance, and `deviation` the uncertainty of its logarithm.",
    fields=("service", "engine", "factor", "lasting", "deviation"),
)
