"""Accepting revisions from the service and exchanging them with peers."""

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
from .core import ConfigurationError, IsReceiving, RevisionStore, receives_nothing
from .events import (
    REVISION_ACCEPTED,
    REVISION_CONFLICT,
    REVISION_LOWER,
    REVISION_REFUSED,
    SECTIONS_UNUSABLE,
)
from .sections import (
    PublishedRevision,
    merge_sections_reply,
    reply_with_missing_sections,
)

__all__ = [
    "accept_revision",
    "apply_sections",
    "handle_revision_message",
    "make_sections_reply",
]


def accept_revision(
    store: RevisionStore, published: PublishedRevision, *, source: str
) -> Result[None, ConfigurationError]:
    """Validate a revision whose digests match, and put it in force if it is newer.

    Parameters
    ----------
    store : RevisionStore
        Store whose revision in force is replaced.
    published : PublishedRevision
        The revision.
    source : str
        Where the revision came from, for the log.

    Returns
    -------
    Result
        ``None``; or `ConfigurationError`, and the revision in force is unchanged.
    """
    received, current = published.revision, store.revision()
    if received.index <= current.index:
        _log_not_newer(store, published, source)
        return Err(
            ConfigurationError(
                f"revision {received.index} is not above {current.index}; "
                "publish the content again under a new index"
            )
        )
    if not store.is_newer(received):
        return Err(ConfigurationError(f"revision {received.index} was refused before"))
    file = f"revision {received.index}"
    match read_declarations(published.text(), file=file, revision=received):
        case Err(problems):
            _record_refusal(store, published, problems, source)
            return Err(ConfigurationError(f"{file} has {len(problems)} problems"))
        case Ok(declarations):
            emit(
                REVISION_ACCEPTED,
                index=received.index,
                digest=received.digest,
                source=source,
                sections=len(published.sections),
            )
            return store.advance(declarations, sections=published.sections)


def _log_not_newer(
    store: RevisionStore, published: PublishedRevision, source: str
) -> None:
    received, current = published.revision, store.revision()
    if received.index < current.index:
        emit(REVISION_LOWER, index=received.index, in_force=current.index)
    elif received.digest != current.digest:
        emit(
            REVISION_CONFLICT,
            index=received.index,
            digest=received.digest,
            in_force=current.digest,
            source=source,
        )


def _record_refusal(
    store: RevisionStore, published: PublishedRevision, problems, source: str
) -> None:
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


def make_sections_reply(
    store: RevisionStore, request: SectionsRequest
) -> SectionsReply:
    """Return the reply to a peer's request for sections."""
    return reply_with_missing_sections(store.revision(), store.sections, request)


def apply_sections(
    store: RevisionStore, reply: SectionsReply, *, source: str = "peer"
) -> Result[None, ConfigurationError]:
    """Assemble a revision from a peer's reply and put it in force if it is newer.

    Parameters
    ----------
    store : RevisionStore
        Store to update; it has the sections that the reply omits.
    reply : SectionsReply
        Reply to a request that `RevisionStore.record_peer_revision` returned.
    source : str
        Name of the peer, for the log.

    Returns
    -------
    Result
        ``None``; or `ConfigurationError`, and the revision in force is unchanged.
    """
    if reply.revision.index <= store.revision().index:
        return Err(ConfigurationError(f"revision {reply.revision.index} is not newer"))
    match merge_sections_reply(store.sections, reply):
        case Ok(published):
            return accept_revision(store, published, source=source)
        case Err(error):
            emit(
                SECTIONS_UNUSABLE,
                index=reply.revision.index,
                source=source,
                error=str(error),
            )
            return Err(ConfigurationError(str(error)))


def handle_revision_message(
    store: RevisionStore,
    message: Message,
    *,
    source: str,
    is_receiving: IsReceiving = receives_nothing,
) -> SectionsRequest | SectionsReply | None:
    """Handle the configuration part of a peer's message.

    Callers pass each message that reports a revision or carries sections, and
    handle the rest of the message themselves.

    Parameters
    ----------
    store : RevisionStore
        The revision in force here.
    message : Message
        The message received.
    source : str
        Name of the peer, for the log.
    is_receiving : callable, optional
        Returns whether a message is arriving over the peer's stream.

    Returns
    -------
    SectionsRequest or SectionsReply or None
        Message to send back on the same stream, if any.
    """
    match message:
        case Hello() | Welcome() | Ping() | Pong():
            return store.record_peer_revision(
                message.revision, is_receiving=is_receiving
            )
        case SectionsRequest():
            return make_sections_reply(store, message)
        case SectionsReply():
            apply_sections(store, message, source=source)
    return None
