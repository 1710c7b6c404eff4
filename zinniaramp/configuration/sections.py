"""Sections of a revision: their digests and their exchange with peers."""

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
    "joined_reply",
    "make_section",
    "make_sections_request",
    "reply_for",
    "revision_digest",
    "verify_published",
]

MAX_CONTENT_BYTES = 1024 * 1024
"""Largest content of one revision; the service holds values up to this size."""

MAX_SECTIONS = 10_000
"""Most sections of one revision; bounds a reply's list of digests."""

SHORT_DIGEST_LENGTH = 16
"""Hexadecimal digits that name a section between peers.

Messages name each of some 700 sections, so whole digests would cost most of a
change's bytes.  The digest of the whole revision is checked whole.
"""


class SectionsError(Exception):
    """Sections do not have their digests, or are not whole."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Section:
    """One section's text and its SHA-256 in hexadecimal."""

    digest: str
    text: str

    def size(self) -> int:
        """Return the bytes of the text and the digest."""
        return len(self.text.encode("utf-8", "replace")) + len(self.digest)


@dataclass(slots=True, kw_only=True, frozen=True)
class PublishedRevision:
    """One revision with its verified sections in order."""

    revision: RevisionId
    sections: tuple[Section, ...]

    def text(self) -> str:
        """Return the whole INI text."""
        return "\n".join(section.text for section in self.sections)


def make_section(text: str) -> Section:
    """Return a section with its digest."""
    digest = hashlib.sha256(text.encode("utf-8", "surrogatepass")).hexdigest()
    return Section(digest=digest, text=text)


def revision_digest(sections: Iterable[Section]) -> str:
    """Return the digest of a whole revision from its sections in order."""
    joined = "".join(section.digest for section in sections)
    return hashlib.sha256(joined.encode()).hexdigest()


def _verified(
    revision: RevisionId, sections: tuple[Section, ...]
) -> Result[PublishedRevision, SectionsError]:
    size = sum(section.size() for section in sections)
    if len(sections) > MAX_SECTIONS or size > MAX_CONTENT_BYTES:
        return Err(
            SectionsError(
                f"revision {revision.index} has {len(sections)} sections of {size} "
                f"bytes; publish at most {MAX_SECTIONS} of {MAX_CONTENT_BYTES} bytes"
            )
        )
    if not sections:
        return Err(
            SectionsError(
                f"revision {revision.index} has no sections; publish at least a class"
            )
        )
    digest = revision_digest(sections)
    if digest != revision.digest:
        return Err(
            SectionsError(
                f"revision {revision.index} has digest {digest} in place of "
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
        The revision; or `SectionsError` if a field or a digest is wrong.
    """
    try:
        index, digest = answer["index"], answer["digest"]
        listed = [(one["digest"], one["text"]) for one in answer["sections"]]
    except (KeyError, TypeError, IndexError) as error:
        return Err(SectionsError(f"answer lacks a field: {error!r}"))
    is_typed = type(index) is int and isinstance(digest, str)
    if not is_typed or not all(isinstance(text, str) for _, text in listed):
        return Err(SectionsError("answer has a field of the wrong type"))
    sections = tuple(make_section(text) for _, text in listed)
    for section, (declared, _) in zip(sections, listed, strict=True):
        if section.digest != declared:
            return Err(
                SectionsError(
                    f"section {section.text[:40]!r} has digest {section.digest} in "
                    f"place of {declared!r:.70}"
                )
            )
    return _verified(RevisionId(index=index, digest=digest), sections)


def make_sections_request(sections: tuple[Section, ...]) -> SectionsRequest:
    """Return the request that names the sections which are already held."""
    return SectionsRequest(
        known_digests=[section.digest[:SHORT_DIGEST_LENGTH] for section in sections]
    )


def reply_for(
    revision: RevisionId, sections: tuple[Section, ...], request: SectionsRequest
) -> SectionsReply:
    """Return the reply that carries the texts which a peer lacks.

    Notes
    -----
    At most `MAX_CONTENT_BYTES` of texts and `MAX_SECTIONS` short digests, which
    together stay below half of the bound on a frame.
    """
    known = set(request.known_digests)
    digests = [section.digest[:SHORT_DIGEST_LENGTH] for section in sections]
    texts = [
        section.text
        for section, digest in zip(sections, digests, strict=True)
        if digest not in known
    ]
    return SectionsReply(revision=revision, digests=digests, texts=texts)


def joined_reply(
    held: tuple[Section, ...], reply: SectionsReply
) -> Result[PublishedRevision, SectionsError]:
    """Join a peer's reply with the sections held, and verify the whole."""
    if len(reply.digests) > MAX_SECTIONS:
        return Err(SectionsError(f"reply names {len(reply.digests)} sections"))
    available = {
        section.digest[:SHORT_DIGEST_LENGTH]: section
        for section in [*held, *map(make_section, reply.texts)]
    }
    missing = [digest for digest in reply.digests if digest not in available]
    if missing:
        return Err(SectionsError(f"reply lacks {len(missing)} sections"))
    sections = tuple(available[digest] for digest in reply.digests)
    return _verified(reply.revision, sections)
