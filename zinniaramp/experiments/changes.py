"""What one change of the configuration costs a process that hears of it."""

import time
from datetime import UTC, datetime
from statistics import linear_regression, median

from loguru import logger

from ..configuration import RevisionStore
from ..configuration.exchange import (
    accept_revision,
    apply_sections,
    make_sections_reply,
)
from ..configuration.sections import (
    PublishedRevision,
    Section,
    make_section,
    make_sections_request,
    revision_digest,
)
from ..contracts import RevisionId, encode
from ..declarations import read_declarations
from .tables import Table, write_table

__all__ = ["measure_changes"]

WORKSPACE_COUNTS = (10, 100, 300, 580)
"""Workspaces declared; the last is the target size's."""

REPEATS = 5
"""Times that each change is applied."""

CHANGES_PER_DAY = 1300
"""Changes a day at the target size."""

SECONDS_PER_DAY = 86_400

CLASSES = 8
MODELS = 11


def _sections(workspaces: int, weight: int, padding: int) -> tuple[Section, ...]:
    """Return the sections of a revision; the weight is what changes."""
    texts = ["[defaults]\nclass_name = class-1\n"]
    texts += [f"[class class-{i}]\ntier = {i}\n" for i in range(1, CLASSES + 1)]
    texts += [f"[model model-{i}]\ncontext = 32768\n" for i in range(MODELS)]
    texts += [
        f"[workspace workspace-{i}]\nweight = {weight if i == 0 else 1}\n"
        f"classes = class-1 class-2 class-3\n{'# ' + 'x' * padding}\n"
        for i in range(workspaces)
    ]
    return tuple(make_section(text) for text in texts)


def _published(index: int, sections: tuple[Section, ...]) -> PublishedRevision:
    revision = RevisionId(index=index, digest=revision_digest(sections))
    return PublishedRevision(revision=revision, sections=sections)


def _store(published: PublishedRevision) -> RevisionStore:
    revision = RevisionId(index=0, digest="")
    empty = read_declarations("", file="", revision=revision).unwrap()
    store = RevisionStore(initial=empty, clock=lambda: datetime.now(UTC))
    accept_revision(store, published, source="experiment").unwrap()
    return store


def _row(workspaces: int, padding: int) -> list:
    old = _published(1, _sections(workspaces, 1, padding))
    new = _published(2, _sections(workspaces, 2, padding))
    ahead = _store(new)
    request = make_sections_request(old.sections)
    reply = make_sections_reply(ahead, request)
    times_ms = []
    for _ in range(REPEATS):
        behind = _store(old)
        started = time.process_time()
        apply_sections(behind, reply).unwrap()
        times_ms.append((time.process_time() - started) * 1e3)
    content = sum(len(section.text) for section in new.sections)
    exchanged = len(encode(request)) + len(encode(reply))
    return [workspaces, content / 1000, exchanged / 1000, median(times_ms)]


def measure_changes() -> None:
    """Measure bytes and processor time of one change, by size of the content."""
    logger.remove()
    rows = [_row(workspaces, 0) for workspaces in WORKSPACE_COUNTS]
    rows.append(_row(WORKSPACE_COUNTS[-1], 1650))
    sized = rows[:-1]
    cpu = linear_regression([row[0] for row in sized], [row[3] for row in sized])
    exchanged = linear_regression([row[0] for row in sized], [row[2] for row in sized])
    a_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    largest = rows[-1]
    table = Table(
        name="changes",
        command="scripts/measure.sh changes",
        headings=[
            "workspaces",
            "content KB",
            "exchanged KB a change",
            "processor ms a change",
        ],
        rows=rows,
        notes=[
            f"A workspace adds {cpu.slope * 1e3:.0f} us and "
            f"{exchanged.slope * 1e3:.0f} bytes to each change.",
            f"At {CHANGES_PER_DAY} changes a day and a megabyte of content: "
            f"{largest[2] * 1000 * a_second:.0f} bytes/s and "
            f"{largest[3] / 1e3 * a_second * 100:.4f}% of a core on average.",
            "A change alters one section; a peer sends that section's text and the "
            "short digests of all sections.",
        ],
    )
    write_table(table)
