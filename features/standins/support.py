"""Helpers of the steps about the stand-ins."""

import json
import time
import urllib.error
import urllib.request
from datetime import UTC, datetime

from zinniaramp.standins.processes import Fleet, start_standin

START = datetime(2026, 1, 1, tzinfo=UTC)
"""Initial time of simulated clocks."""

WAIT_SECONDS = 10
"""Timeout of requests and of waits for a condition, in seconds."""


def wait_until(condition):
    """Poll a condition until it is true; fail after `WAIT_SECONDS`."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "condition is still false at the timeout"
        time.sleep(0.01)


def call(url, body=None, method=None, headers=()):
    """Send a request and return the status, headers and parsed JSON body."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=dict(headers)
    )
    try:
        with urllib.request.urlopen(request, timeout=WAIT_SECONDS) as response:
            return response.status, response.headers, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, error.headers, json.loads(error.read())


def post_json(url, value):
    """Send a POST with a JSON body and return the status."""
    return call(url, json.dumps(value).encode())[0]


def start_role(context, role, **options):
    """Start the stand-in of a role and set `context.url` to its base URL."""
    fleet = Fleet(directory=context.directory)
    context.url = start_standin(fleet, role, role, **options).url
    fleet.wait_ready()
