"""Background tasks that keep the configuration and the host list up to date."""

import asyncio
from random import Random

from tornado.curl_httpclient import CurlAsyncHTTPClient

from ..clock import Clock
from ..configuration import ConfigurationFollower, RevisionStore
from ..hosts import HostListFollower, HostView
from ..reads.curl import make_curl_reader
from ..settings import Settings
from .tasks import supervise

__all__ = ["Followers"]

MAX_CLIENTS = 4
"""Concurrent HTTP requests to the platform: one watch, one host list, two spare."""


class Followers:
    """Creates and runs the followers that the settings of a process enable.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    revisions : RevisionStore
        Updated from the configuration service.
    hosts : HostView
        Updated from the host list.
    clock : Clock
        The process's clock.

    Attributes
    ----------
    is_initial_lookup_done : bool
        Whether `wait_for_newest_revision` has returned.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        revisions: RevisionStore,
        hosts: HostView,
        clock: Clock,
    ):
        self.settings = settings
        self.is_initial_lookup_done = False
        self.tasks: list[asyncio.Task] = []
        platform, process = settings.platform, settings.process
        client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
        read_json = make_curl_reader(client, clock=clock)
        self.configuration: ConfigurationFollower | None = None
        if platform.configuration:
            self.configuration = ConfigurationFollower(
                url=platform.configuration,
                name=process.name,
                data_centre=process.data_centre,
                store=revisions,
                hosts=hosts,
                read_json=read_json,
                clock=clock,
                random=Random(),
            )
        self.host_list: HostListFollower | None = None
        if platform.hosts:
            self.host_list = HostListFollower(
                url=platform.hosts, view=hosts, read_json=read_json, random=Random()
            )

    def start(self) -> None:
        """Start one supervised task for each enabled follower."""
        for name, follower in (
            ("configuration", self.configuration),
            ("host list", self.host_list),
        ):
            if follower is not None:
                task = asyncio.create_task(supervise(name, follower.run), name=name)
                self.tasks.append(task)

    async def wait_for_newest_revision(self) -> None:
        """Wait for the newest revision, at most for ``[platform] lookup_timeout``."""
        if self.configuration is not None:
            await self.configuration.wait_for_newest(
                timeout=self.settings.platform.lookup_timeout
            )
        self.is_initial_lookup_done = True
