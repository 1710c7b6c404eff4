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
    meaning="A revision was put in force in this process.",
    fields=("index", "digest", "source", "sections"),
)
REVISION_REFUSED = declare_event(
    number=1101,
    name="revision-refused",
    level="ERROR",
    meaning="A revision has this problem and was refused; the last accepted "
    "revision stays in force.",
    fields=("index", "source", "file", "section", "key", "value", "error", "remedy"),
)
REVISION_LOWER = declare_event(
    number=1102,
    name="revision-lower",
    level="WARNING",
    meaning="The service returned a lower index than the one in force; its content "
    "is ignored until a higher index is published.",
    fields=("index", "in_force"),
)
REVISION_CONFLICT = declare_event(
    number=1103,
    name="revision-conflict",
    level="ERROR",
    meaning="The index in force was received with other content; the current "
    "content stays in force until a higher index is published.",
    fields=("index", "digest", "in_force", "source"),
)
CONFIGURATION_UNREACHABLE = declare_event(
    number=1104,
    name="configuration-unreachable",
    level="WARNING",
    meaning="The configuration service returned no usable answer; the read is retried.",
    fields=("error", "wait_s"),
)
SECTIONS_UNUSABLE = declare_event(
    number=1105,
    name="sections-unusable",
    level="WARNING",
    meaning="A peer's sections or the service's answer are malformed or do not "
    "match their digests.",
    fields=("index", "source", "error"),
)
