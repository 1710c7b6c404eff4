"""Headers that concern one connection only."""

from tornado.httputil import HTTPHeaders

__all__ = ["end_to_end"]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers of RFC 9110, section 7.6.1, and those that the framing is made of."""


def end_to_end(headers: HTTPHeaders, *, keep: frozenset[str]) -> HTTPHeaders:
    """Return the headers that are passed on.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers as received.
    keep : frozenset of str
        Names in lower case that ``Connection`` can't take out.
    """
    named = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    } - keep
    passed = HTTPHeaders()
    for name, value in headers.get_all():
        lower = name.lower()
        if lower not in HOP_BY_HOP and lower not in named:
            passed.add(name, value)
    return passed
