"""Callers that each send one planned request and record its answers."""

import asyncio
from datetime import datetime, timedelta

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from ..clock import Clock
from .answers import ReceivedAnswer, matches_expected
from .arrivals import PlannedRequest
from .records import CallerOutcome, CallerRecord

__all__ = ["Caller"]

SLOW_BYTES_PER_SECOND = 4000
"""Rate at which a slow caller reads, in bytes per second."""

IMMEDIATE_RETRY_DELAY_SECONDS = 0.1
"""Delay before a caller that ignores ``Retry-After`` retries, in seconds."""

TICKET_HEADER = "Zinniaramp-Ticket"
TICKET_REQUIRED_STATUS = 428
REFUSED_STATUSES = (429, 503)


class Caller:
    """Sends one request and retries refused sends as often as its stream allows.

    Parameters
    ----------
    planned : PlannedRequest
        The request and its planned send time.
    client : CurlAsyncHTTPClient
        HTTP client shared by all callers.
    url : str
        URL of the entry process to which this caller sends.
    started : datetime
        Start of the run.
    timeout : timedelta
        Timeout of each send.
    clock : Clock
        Clock of the run.
    """

    __slots__ = (
        "planned",
        "client",
        "url",
        "planned_time",
        "timeout",
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
        timeout: timedelta,
        clock: Clock,
    ):
        self.planned = planned
        self.client = client
        self.url = url
        self.planned_time = started + planned.offset
        self.timeout = timeout
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
        """Send the request, retry as planned, and return the record.

        A send that is answered with a ticket is repeated with the ticket.  This does
        not count as a retry.
        """
        if self.planned.vanish_after is not None:
            delay_s = self.planned.vanish_after.total_seconds()
            asyncio.get_running_loop().call_later(delay_s, self.vanish)
        retries_left = self.planned.stream.returns
        while True:
            answer = ReceivedAnswer(is_events=self.planned.stream.is_streamed)
            response = await self.send(answer)
            self.record_response(response, answer)
            if self.needs_ticket(response):
                self.ticket = response.headers[TICKET_HEADER]
                continue
            if self.record.fate is not CallerOutcome.REFUSED or retries_left == 0:
                return self.record
            retries_left -= 1
            await asyncio.sleep(self.retry_delay_s(response))

    def needs_ticket(self, response: HTTPResponse) -> bool:
        """Return whether the request must be sent again with a ticket."""
        return (
            response.code == TICKET_REQUIRED_STATUS
            and TICKET_HEADER in response.headers
            and not self.ticket
        )

    def retry_delay_s(self, response: HTTPResponse) -> float:
        """Return the delay before the next retry, in seconds."""
        if not self.planned.stream.heeds_retry_after:
            return IMMEDIATE_RETRY_DELAY_SECONDS
        return float(response.headers.get("Retry-After", 1))

    async def send(self, answer: ReceivedAnswer) -> HTTPResponse:
        """Send the request once and wait for the end of the answer.

        If the connection fails, times out or is closed by this caller, the response
        has code 599.
        """
        self.record.sends += 1
        request = self.make_http_request(answer)
        try:
            return await self.client.fetch(request, raise_error=False)
        except HTTPClientError as error:
            return HTTPResponse(request, error.code)
        finally:
            self.curl = None

    def make_http_request(self, answer: ReceivedAnswer) -> HTTPRequest:
        """Return the HTTP request, which passes received bytes to `answer`."""
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
            connect_timeout=self.timeout.total_seconds(),
            request_timeout=self.timeout.total_seconds(),
            follow_redirects=False,
            prepare_curl_callback=self.configure_transfer,
        )

    def headers(self) -> dict[str, str]:
        """Return the headers of the HTTP request."""
        headers = {
            "Content-Type": "application/json",
            "Zinniaramp-Class": self.planned.stream.class_name,
            "Zinniaramp-Workspace": self.planned.workspace,
            "X-Mark": self.planned.mark,
        }
        if self.ticket:
            headers["Idempotency-Key"] = self.ticket
        return headers

    def configure_transfer(self, curl: pycurl.Curl) -> None:
        """Configure libcurl so that the caller reads slowly or vanishes, as planned."""
        if self.planned.is_slow:
            curl.setopt(pycurl.MAX_RECV_SPEED_LARGE, SLOW_BYTES_PER_SECOND)
        if self.planned.vanish_after is not None:
            self.curl = curl
            curl.setopt(pycurl.NOPROGRESS, 0)
            curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_: int(self.has_vanished))

    def vanish(self) -> None:
        """Abort the transfer in progress, if any."""
        self.has_vanished = True
        if self.curl is not None:
            # libcurl calls the progress function, which aborts the transfer, only
            # while it processes the transfer.  The end of a pause triggers this.
            self.curl.pause(pycurl.PAUSE_ALL)
            self.curl.pause(pycurl.PAUSE_CONT)

    def record_response(self, response: HTTPResponse, answer: ReceivedAnswer) -> None:
        """Update the record with one response and its body."""
        record = self.record
        record.status = response.code
        record.outcome = answer.outcome or response.headers.get(
            "Zinniaramp-Outcome", ""
        )
        record.request_id = response.headers.get("Zinniaramp-Request-Id", "")
        record.was_told_not_run |= record.outcome == "not-run"
        record.not_run_answers += record.outcome == "not-run"
        record.finish = self.clock() - self.planned_time
        record.fate = self.classify_response(response, answer)
        if response.code == 200:
            self.record_tokens(answer)
        else:
            record.code = answer.error_code()

    def record_tokens(self, answer: ReceivedAnswer) -> None:
        """Record the number of tokens of an answer and their arrival times."""
        record, times = self.record, answer.token_times
        record.tokens = len(answer.token_texts) or self.planned.output_tokens
        record.first_token = times[0] - self.planned_time if times else record.finish
        record.gaps = [
            later - earlier for earlier, later in zip(times, times[1:], strict=False)
        ]

    def classify_response(
        self, response: HTTPResponse, answer: ReceivedAnswer
    ) -> CallerOutcome:
        """Return how the request ended, if this was its last response."""
        if self.has_vanished:
            return CallerOutcome.VANISHED
        if response.code == 200:
            if matches_expected(self.planned, answer):
                return CallerOutcome.WHOLE
            was_cut = self.planned.stream.is_streamed and not answer.is_ended
            return CallerOutcome.CUT if was_cut else CallerOutcome.WRONG
        if response.code in REFUSED_STATUSES:
            return CallerOutcome.REFUSED
        if self.record.outcome == "unknown":
            return CallerOutcome.UNKNOWN
        return CallerOutcome.UNANSWERED
