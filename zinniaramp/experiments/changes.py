"""Bytes and processor time that a process needs to apply one configuration change."""

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
"""Numbers of declared workspaces; the last is that of the target size."""

APPLICATIONS = 5
"""Number of times that each change is applied; the median is reported."""

CHANGES_PER_DAY = 1300
"""Configuration changes per day at the target size."""

SECONDS_PER_DAY = 86_400

CLASSES = 8
MODELS = 11


def _make_sections(
    workspaces: int, weight: int, comment_length: int
) -> tuple[Section, ...]:
    """Return the sections of a revision.

    Two revisions differ in the weight of the first workspace.  Each workspace has a
    comment of ``comment_length`` characters.
    """
    texts = ["[defaults]\nclass_name = class-1\n"]
    texts += [f"[class class-{i}]\ntier = {i}\n" for i in range(1, CLASSES + 1)]
    texts += [f"[model model-{i}]\ncontext = 32768\n" for i in range(MODELS)]
    texts += [
        f"[workspace workspace-{i}]\nweight = {weight if i == 0 else 1}\n"
        f"classes = class-1 class-2 class-3\n{'# ' + 'x' * comment_length}\n"
        for i in range(workspaces)
    ]
    return tuple(make_section(text) for text in texts)


def _make_revision(index: int, sections: tuple[Section, ...]) -> PublishedRevision:
    revision = RevisionId(index=index, digest=revision_digest(sections))
    return PublishedRevision(revision=revision, sections=sections)


def _make_store(published: PublishedRevision) -> RevisionStore:
    revision = RevisionId(index=0, digest="")
    empty = read_declarations("", file="", revision=revision).unwrap()
    store = RevisionStore(initial=empty, clock=lambda: datetime.now(UTC))
    accept_revision(store, published, source="experiment").unwrap()
    return store


def _measure_change(workspaces: int, comment_length: int) -> list:
    old = _make_revision(1, _make_sections(workspaces, 1, comment_length))
    new = _make_revision(2, _make_sections(workspaces, 2, comment_length))
    new_store = _make_store(new)
    request = make_sections_request(old.sections)
    reply = make_sections_reply(new_store, request)
    times_ms = []
    for _ in range(APPLICATIONS):
        old_store = _make_store(old)
        started = time.process_time()
        apply_sections(old_store, reply).unwrap()
        times_ms.append((time.process_time() - started) * 1e3)
    content = sum(len(section.text) for section in new.sections)
    exchanged_bytes = len(encode(request)) + len(encode(reply))
    return [workspaces, content / 1000, exchanged_bytes / 1000, median(times_ms)]


def measure_changes() -> None:
    """Measure bytes and processor time per change for several sizes of content."""
    logger.remove()
    rows = [_measure_change(workspaces, 0) for workspaces in WORKSPACE_COUNTS]
    rows.append(_measure_change(WORKSPACE_COUNTS[-1], 1650))
    unpadded_rows = rows[:-1]
    cpu_fit = linear_regression(
        [row[0] for row in unpadded_rows], [row[3] for row in unpadded_rows]
    )
    exchanged_fit = linear_regression(
        [row[0] for row in unpadded_rows], [row[2] for row in unpadded_rows]
    )
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
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
            f"Each workspace adds {cpu_fit.slope * 1e3:.0f} us and "
            f"{exchanged_fit.slope * 1e3:.0f} bytes to each change.",
            f"At {CHANGES_PER_DAY} changes per day and one megabyte of content: "
            f"{largest[2] * 1000 * changes_per_second:.0f} bytes/s and "
            f"{largest[3] / 1e3 * changes_per_second * 100:.4f}% of a core on average.",
            "Each change modifies one section; a peer sends the text of that section "
            "and the short digests of all sections.",
        ],
    )
    write_table(table)
