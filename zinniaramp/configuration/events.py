"""Log events of the configuration, 1100 to 1199."""

from ..observability import declare_event

__all__ = [
    "CONFIGURATION_UNREACHABLE",
    "REVISION_ACCEPTED",
    "REVISION_CONFLICT",
    "REVISION_LOWER",
    "REVISION_REFUSED",
    "SECTIONS_UNUSABLE",
]

REVISION_ACCEPTED = declare_event(
    number=1100,
    name="revision-accepted",
    level="INFO",
    meaning="A revision is in force in this process from now on.",
    fields=("index", "digest", "source", "sections"),
)
REVISION_REFUSED = declare_event(
    number=1101,
    name="revision-refused",
    level="ERROR",
    meaning="A revision's content has this mistake; the last accepted one stays.",
    fields=("index", "source", "file", "section", "key", "value", "error", "remedy"),
)
REVISION_LOWER = declare_event(
    number=1102,
    name="revision-lower",
    level="WARNING",
    meaning="The service shows a lower index than the one in force; it is ignored "
    "until an index above the one in force is published.",
    fields=("index", "in_force"),
)
REVISION_CONFLICT = declare_event(
    number=1103,
    name="revision-conflict",
    level="ERROR",
    meaning="The index in force was seen with another content; the present one "
    "stays until a higher index is published.",
    fields=("index", "digest", "in_force", "source"),
)
CONFIGURATION_UNREACHABLE = declare_event(
    number=1104,
    name="configuration-unreachable",
    level="WARNING",
    meaning="The configuration service gave no usable answer; it is tried again.",
    fields=("error", "wait_s"),
)
SECTIONS_UNUSABLE = declare_event(
    number=1105,
    name="sections-unusable",
    level="WARNING",
    meaning="A peer's sections or the service's answer fail their digests.",
    fields=("index", "source", "error"),
)
