"""Callers: each sends one planned request and records what it saw."""

import asyncio
from datetime import datetime, timedelta

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from ..clock import Clock
from .answers import ReceivedAnswer, is_whole
from .arrivals import PlannedRequest
from .records import CallerOutcome, CallerRecord

__all__ = ["Caller"]

SLOW_BYTES_PER_SECOND = 4000
"""Speed at which a slow caller reads, in bytes per second."""

IMMEDIATE_RETRY_SECONDS = 0.1
"""Wait before a caller that does not heed ``Retry-After`` sends again, in seconds."""

TICKET_HEADER = "Zinniaramp-Ticket"
NEEDS_TICKET = 428
REFUSED_STATUSES = (429, 503)


class Caller:
    """Sends one request, coming back as its stream allows.

    Parameters
    ----------
    planned : PlannedRequest
        What to send and when.
    client : CurlAsyncHTTPClient
        Client shared by all callers.
    url : str
        URL of the entry process that this caller uses.
    started : datetime
        Start of the run.
    limit : timedelta
        Time after which the caller stops waiting for an answer.
    clock : Clock
        Clock of the run.
    """

    __slots__ = (
        "planned",
        "client",
        "url",
        "planned_time",
        "limit",
        "clock",
        "record",
        "ticket",
        "curl",
        "has_vanished",
    )

    def __init__(
        self,
        *,
        planned: PlannedRequest,
        client: CurlAsyncHTTPClient,
        url: str,
        started: datetime,
        limit: timedelta,
        clock: Clock,
    ):
        self.planned = planned
        self.client = client
        self.url = url
        self.planned_time = started + planned.offset
        self.limit = limit
        self.clock = clock
        self.ticket = ""
        self.curl: pycurl.Curl | None = None
        self.has_vanished = False
        self.record = CallerRecord(
            mark=planned.mark,
            class_name=planned.stream.class_name,
            workspace=planned.workspace,
            offset=planned.offset,
            url=url,
            planned=self.planned_time,
        )

    async def run(self) -> CallerRecord:
        """Send until there is a final answer; return the record."""
        if self.planned.vanish_after is not None:
            delay_s = self.planned.vanish_after.total_seconds()
            asyncio.get_running_loop().call_later(delay_s, self.vanish)
        returns_left = self.planned.stream.returns
        while True:
            answer = ReceivedAnswer(is_events=self.planned.stream.is_streamed)
            response = await self.send(answer)
            self.note(response, answer)
            if self.needs_ticket(response):
                self.ticket = response.headers[TICKET_HEADER]
                continue
            if self.record.fate is not CallerOutcome.REFUSED or returns_left == 0:
                return self.record
            returns_left -= 1
            await asyncio.sleep(self.wait_before_return(response))

    def needs_ticket(self, response: HTTPResponse) -> bool:
        """Tell whether the request is to be sent again with a ticket."""
        return (
            response.code == NEEDS_TICKET
            and TICKET_HEADER in response.headers
            and not self.ticket
        )

    def wait_before_return(self, response: HTTPResponse) -> float:
        """Return the seconds to wait before the request is sent again."""
        if not self.planned.stream.heeds_retry_after:
            return IMMEDIATE_RETRY_SECONDS
        return float(response.headers.get("Retry-After", 1))

    async def send(self, answer: ReceivedAnswer) -> HTTPResponse:
        """Send the request once and wait for the answer's end.

        A connection that fails or is given up gives a response with code 599.
        """
        self.record.sends += 1
        request = self.http_request(answer)
        try:
            return await self.client.fetch(request, raise_error=False)
        except HTTPClientError as error:
            return HTTPResponse(request, error.code)
        finally:
            self.curl = None

    def http_request(self, answer: ReceivedAnswer) -> HTTPRequest:
        """Return the HTTP request."""
        stream = self.planned.stream
        path = (
            f"/services/{stream.service}/{stream.path}"
            if stream.service
            else "/v1/chat/completions"
        )
        return HTTPRequest(
            self.url + path,
            method=stream.method if stream.service else "POST",
            headers=self.headers(),
            body=self.planned.body or None,
            streaming_callback=lambda data: answer.receive(data, self.clock()),
            connect_timeout=self.limit.total_seconds(),
            request_timeout=self.limit.total_seconds(),
            follow_redirects=False,
            prepare_curl_callback=self.prepare,
        )

    def headers(self) -> dict[str, str]:
        """Return the request's headers."""
        headers = {
            "Content-Type": "application/json",
            "Zinniaramp-Class": self.planned.stream.class_name,
            "Zinniaramp-Workspace": self.planned.workspace,
            "X-Mark": self.planned.mark,
        }
        if self.ticket:
            headers["Idempotency-Key"] = self.ticket
        return headers

    def prepare(self, curl: pycurl.Curl) -> None:
        """Make the transfer slow, or end it early, as planned."""
        if self.planned.is_slow:
            curl.setopt(pycurl.MAX_RECV_SPEED_LARGE, SLOW_BYTES_PER_SECOND)
        if self.planned.vanish_after is not None:
            self.curl = curl
            curl.setopt(pycurl.NOPROGRESS, 0)
            curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_: int(self.has_vanished))

    def vanish(self) -> None:
        """End the transfer that is running, if one is."""
        self.has_vanished = True
        if self.curl is not None:
            # libcurl asks the progress function only when it works on the
            # transfer, which it does when a pause is over.
            self.curl.pause(pycurl.PAUSE_ALL)
            self.curl.pause(pycurl.PAUSE_CONT)

    def note(self, response: HTTPResponse, answer: ReceivedAnswer) -> None:
        """Note what one answer showed."""
        record = self.record
        record.status = response.code
        record.outcome = answer.outcome or response.headers.get(
            "Zinniaramp-Outcome", ""
        )
        record.request_id = response.headers.get("Zinniaramp-Request-Id", "")
        record.was_told_not_run |= record.outcome == "not-run"
        record.not_run_answers += record.outcome == "not-run"
        record.finish = self.clock() - self.planned_time
        record.fate = self.fate_of(response, answer)
        if response.code == 200:
            self.note_tokens(answer)
        else:
            record.code = answer.error_code()

    def note_tokens(self, answer: ReceivedAnswer) -> None:
        """Note when the tokens of an answer came."""
        record, times = self.record, answer.token_times
        record.tokens = len(answer.token_texts) or self.planned.output_tokens
        record.first_token = times[0] - self.planned_time if times else record.finish
        record.gaps = [
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        ]

    def fate_of(self, response: HTTPResponse, answer: ReceivedAnswer) -> CallerOutcome:
        """Judge how the request ended."""
        if self.has_vanished:
            return CallerOutcome.VANISHED
        if response.code == 200:
            if is_whole(self.planned, answer):
                return CallerOutcome.WHOLE
            was_cut = self.planned.stream.is_streamed and not answer.is_ended
            return CallerOutcome.CUT if was_cut else CallerOutcome.WRONG
        if response.code in REFUSED_STATUSES:
            return CallerOutcome.REFUSED
        if self.record.outcome == "unknown":
            return CallerOutcome.UNKNOWN
        return CallerOutcome.UNANSWERED
