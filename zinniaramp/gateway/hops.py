"""Removal of hop-by-hop headers."""

from tornado.httputil import HTTPHeaders

__all__ = ["end_to_end_headers"]

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
"""Hop-by-hop headers of RFC 9110, section 7.6.1, and headers of the body's framing."""


def end_to_end_headers(headers: HTTPHeaders, *, keep: frozenset[str]) -> HTTPHeaders:
    """Return the end-to-end headers, which a proxy forwards.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers as received.
    keep : frozenset of str
        Lower-case names of headers that are forwarded even if ``Connection`` lists
        them.
    """
    connection_options = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    } - keep
    forwarded = HTTPHeaders()
    for name, value in headers.get_all():
        lower_name = name.lower()
        if lower_name not in HOP_BY_HOP and lower_name not in connection_options:
            forwarded.add(name, value)
    return forwarded
