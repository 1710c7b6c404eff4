"""Taking a revision into force, whether the service or a peer brought it."""

from result import Err, Ok, Result

from ..contracts import (
    Hello,
    Message,
    Ping,
    Pong,
    SectionsReply,
    SectionsRequest,
    Welcome,
)
from ..declarations import read_declarations
from ..observability import emit
from .core import ConfigurationError, RevisionStore
from .events import (
    REVISION_ACCEPTED,
    REVISION_CONFLICT,
    REVISION_LOWER,
    REVISION_REFUSED,
    SECTIONS_UNUSABLE,
)
from .sections import Published, joined_reply, reply_for

__all__ = [
    "apply_sections",
    "exchange_revisions",
    "sections_reply",
    "take_revision",
]


def take_revision(
    store: RevisionStore, published: Published, *, source: str
) -> Result[None, ConfigurationError]:
    """Check a verified revision and put it in force if it is newer.

    Parameters
    ----------
    store : RevisionStore
        Where it is put in force.
    published : Published
        The revision.
    source : str
        Who brought it, for the log.

    Returns
    -------
    Result
        Nothing; or `ConfigurationError`, with the present revision kept.
    """
    offered, present = published.revision, store.revision()
    if offered.index <= present.index:
        _note_old(store, published, source)
        return Err(
            ConfigurationError(
                f"revision {offered.index} is not above {present.index}; "
                "publish the content again under a new index"
            )
        )
    if not store.is_newer(offered):
        return Err(ConfigurationError(f"revision {offered.index} was refused before"))
    file = f"revision {offered.index}"
    match read_declarations(published.text(), file=file, revision=offered):
        case Err(problems):
            _refuse(store, published, problems, source)
            return Err(ConfigurationError(f"{file} has {len(problems)} mistakes"))
        case Ok(declarations):
            emit(
                REVISION_ACCEPTED,
                index=offered.index,
                digest=offered.digest,
                source=source,
                sections=len(published.sections),
            )
            return store.advance(declarations, sections=published.sections)


def _note_old(store: RevisionStore, published: Published, source: str) -> None:
    offered, present = published.revision, store.revision()
    if offered.index < present.index:
        emit(REVISION_LOWER, index=offered.index, in_force=present.index)
    elif offered.digest != present.digest:
        emit(
            REVISION_CONFLICT,
            index=offered.index,
            digest=offered.digest,
            in_force=present.digest,
            source=source,
        )


def _refuse(store: RevisionStore, published: Published, problems, source: str) -> None:
    store.refused = published.revision
    for problem in problems:
        emit(
            REVISION_REFUSED,
            index=published.revision.index,
            source=source,
            file=problem.file,
            section=problem.section,
            key=problem.key,
            value=problem.value,
            error=problem.message,
            remedy=problem.remedy,
        )


def sections_reply(store: RevisionStore, request: SectionsRequest) -> SectionsReply:
    """Return what answers a peer's request for sections."""
    return reply_for(store.revision(), store.sections, request)


def apply_sections(
    store: RevisionStore, reply: SectionsReply, *, source: str = "peer"
) -> Result[None, ConfigurationError]:
    """Put the revision that a peer's reply completes in force, if it is newer.

    Parameters
    ----------
    store : RevisionStore
        Holds the sections that the reply leaves out.
    reply : SectionsReply
        The reply to a request that `RevisionStore.note_revision` returned.
    source : str
        Name of the peer, for the log.

    Returns
    -------
    Result
        Nothing; or `ConfigurationError`, with the present revision kept.
    """
    if reply.revision.index <= store.revision().index:
        return Err(ConfigurationError(f"revision {reply.revision.index} is not newer"))
    match joined_reply(store.sections, reply):
        case Ok(published):
            return take_revision(store, published, source=source)
        case Err(error):
            emit(
                SECTIONS_UNUSABLE,
                index=reply.revision.index,
                source=source,
                error=str(error),
            )
            return Err(ConfigurationError(str(error)))


def exchange_revisions(
    store: RevisionStore, message: Message, *, source: str
) -> SectionsRequest | SectionsReply | None:
    """Do what a message from a peer means for the configuration.

    Call it with each message that tells a revision or carries sections, besides
    whatever else that message means.

    Parameters
    ----------
    store : RevisionStore
        The revision in force here.
    message : Message
        What the peer sent.
    source : str
        Name of the peer, for the log.

    Returns
    -------
    SectionsRequest or SectionsReply or None
        What to send back on the same stream.
    """
    match message:
        case Hello() | Welcome() | Ping() | Pong():
            return store.note_revision(message.revision)
        case SectionsRequest():
            return sections_reply(store, message)
        case SectionsReply():
            apply_sections(store, message, source=source)
    return None
