"""Sections of a revision, their digests, and the messages that exchange them."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from ..contracts import RevisionId, SectionsReply, SectionsRequest

__all__ = [
    "MAX_CONTENT_BYTES",
    "MAX_SECTIONS",
    "PublishedRevision",
    "Section",
    "SectionsError",
    "merge_sections_reply",
    "make_section",
    "make_sections_request",
    "reply_with_missing_sections",
    "revision_digest",
    "verify_published",
]

MAX_CONTENT_BYTES = 1024 * 1024
"""Largest content of one revision; the service stores values up to this size."""

MAX_SECTIONS = 10_000
"""Maximum number of sections of one revision; bounds a reply's list of digests."""

SHORT_DIGEST_LENGTH = 16
"""Hexadecimal digits of a section's digest in messages between peers.

A message lists some 700 sections, so that full digests would be most of the bytes
sent for a change.  The digest of the whole revision is compared in full.
"""


class SectionsError(Exception):
    """Sections are incomplete, malformed, or do not match their digests."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Section:
    """Text of one section and its SHA-256 digest in hexadecimal."""

    digest: str
    text: str

    def size(self) -> int:
        """Return the size in bytes of the text and the digest."""
        return len(self.text.encode("utf-8", "replace")) + len(self.digest)


@dataclass(slots=True, kw_only=True, frozen=True)
class PublishedRevision:
    """One revision with its sections in order, whose digests match."""

    revision: RevisionId
    sections: tuple[Section, ...]

    def text(self) -> str:
        """Return the INI text of all sections."""
        return "\n".join(section.text for section in self.sections)


def make_section(text: str) -> Section:
    """Return a section with the digest of its text."""
    digest = hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()
    return Section(digest=digest, text=text)


def revision_digest(sections: Iterable[Section]) -> str:
    """Return the digest of a revision, computed from its sections' digests in order."""
    joined = "".join(section.digest for section in sections)
    return hashlib.sha256(joined.encode()).hexdigest()


def _verify_revision(
    revision: RevisionId, sections: tuple[Section, ...]
) -> Result[PublishedRevision, SectionsError]:
    size = sum(section.size() for section in sections)
    if len(sections) > MAX_SECTIONS or size > MAX_CONTENT_BYTES:
        return Err(
            SectionsError(
                f"revision {revision.index} has {len(sections)} sections of {size} "
                f"bytes in all; publish at most {MAX_SECTIONS} sections of "
                f"{MAX_CONTENT_BYTES} bytes in all"
            )
        )
    if not sections:
        return Err(
            SectionsError(
                f"revision {revision.index} has no sections; publish at least one class"
            )
        )
    digest = revision_digest(sections)
    if digest != revision.digest:
        return Err(
            SectionsError(
                f"revision {revision.index} has digest {digest}; expected "
                f"{revision.digest:.64}"
            )
        )
    return Ok(PublishedRevision(revision=revision, sections=sections))


def verify_published(answer) -> Result[PublishedRevision, SectionsError]:
    """Verify an answer of the configuration service.

    Parameters
    ----------
    answer : object
        Parsed JSON.

    Returns
    -------
    Result
        The revision; or `SectionsError` if a field has the wrong type, a digest does
        not match, or a limit is exceeded.
    """
    try:
        index, digest = answer["index"], answer["digest"]
        entries = [(entry["digest"], entry["text"]) for entry in answer["sections"]]
    except (KeyError, TypeError, IndexError) as error:
        return Err(SectionsError(f"answer lacks a field: {error!r}"))
    has_valid_types = type(index) is int and isinstance(digest, str)
    if not has_valid_types or not all(isinstance(text, str) for _, text in entries):
        return Err(SectionsError("answer has a field of the wrong type"))
    sections = tuple(make_section(text) for _, text in entries)
    for section, (expected, _) in zip(sections, entries, strict=True):
        if section.digest != expected:
            return Err(
                SectionsError(
                    f"section {section.text[:40]!r} has digest {section.digest}; "
                    f"expected {expected!r:.70}"
                )
            )
    return _verify_revision(RevisionId(index=index, digest=digest), sections)


def make_sections_request(sections: tuple[Section, ...]) -> SectionsRequest:
    """Return a request that lists the sections which the sender already has."""
    return SectionsRequest(
        known_digests=[section.digest[:SHORT_DIGEST_LENGTH] for section in sections]
    )


def reply_with_missing_sections(
    revision: RevisionId, sections: tuple[Section, ...], request: SectionsRequest
) -> SectionsReply:
    """Return a reply with the texts of the sections that the peer lacks.

    Notes
    -----
    A reply has at most `MAX_CONTENT_BYTES` of texts and `MAX_SECTIONS` short
    digests, which together are less than half of the largest frame.
    """
    known = set(request.known_digests)
    digests = [section.digest[:SHORT_DIGEST_LENGTH] for section in sections]
    texts = [
        section.text
        for section, digest in zip(sections, digests, strict=True)
        if digest not in known
    ]
    return SectionsReply(revision=revision, digests=digests, texts=texts)


def merge_sections_reply(
    held: tuple[Section, ...], reply: SectionsReply
) -> Result[PublishedRevision, SectionsError]:
    """Complete a peer's reply from the sections held here and verify the digest."""
    if len(reply.digests) > MAX_SECTIONS:
        return Err(SectionsError(f"reply lists {len(reply.digests)} sections"))
    available = {
        section.digest[:SHORT_DIGEST_LENGTH]: section
        for section in [*held, *map(make_section, reply.texts)]
    }
    missing = [digest for digest in reply.digests if digest not in available]
    if missing:
        return Err(SectionsError(f"reply lacks {len(missing)} sections"))
    sections = tuple(available[digest] for digest in reply.digests)
    return _verify_revision(reply.revision, sections)
