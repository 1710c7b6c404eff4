"""What the steps about the stand-ins share."""

import json
import time
import urllib.error
import urllib.request
from datetime import UTC, datetime

from zinniaramp.standins.processes import Fleet, start_standin

START = datetime(2026, 1, 1, tzinfo=UTC)
WAIT_SECONDS = 10


def wait_until(condition):
    """Poll a condition, for a bounded time, until it holds."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "condition did not come true"
        time.sleep(0.01)


def call(url, body=None, method=None, headers=()):
    """Return status, headers and parsed JSON of one call."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=dict(headers)
    )
    try:
        with urllib.request.urlopen(request, timeout=WAIT_SECONDS) as response:
            return response.status, response.headers, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, error.headers, json.loads(error.read())


def post_json(url, value):
    """Return the status of a POST of JSON."""
    return call(url, json.dumps(value).encode())[0]


def start(context, role, **options):
    """Start one stand-in and return its URL."""
    fleet = Fleet(directory=context.directory)
    context.url = start_standin(fleet, role, role, **options).url
    fleet.wait_ready()


def fixed_clock(moments):
    """Return a clock that reads the last of a list of times."""
    return lambda: moments[-1]
