"""Log events of the placement, 2200 to 2299."""

from ..observability import declare_event

__all__ = ["ENGINE_LAW_CHANGED"]

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
