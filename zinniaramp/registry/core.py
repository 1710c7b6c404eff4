"""Registered endpoints and the active configuration, from the store's items."""

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta

from result import Err, Ok

from ..clock import Clock
from ..observability import emit
from ..routes import Configuration
from .copies import Copies
from .departures import Departures
from .endpoints import (
    Endpoint,
    EndpointState,
    ItemDecoder,
    PrepareItems,
    prepare_nothing,
)
from .eras import check_era
from .evacuations import Evacuation, Evacuations
from .events import (
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_OLD,
    ENDPOINT_GONE,
    ENDPOINT_HELD,
    ENDPOINT_LEAVING,
    ENDPOINT_LISTED,
    ENDPOINT_MISSING,
    EVACUATION_HELD,
    EVACUATION_IN_FORCE,
    EVACUATION_REVOKED,
    ITEM_REFUSED,
)
from .freshness import Freshness
from .items import History, Item, ItemCache, Snapshot
from .versions import ServedVersions, find_served_versions

__all__ = ["Registry"]


class Registry:
    """Endpoints and configuration of the process, updated from snapshots of the store.

    Whatever is sent to an endpoint passes `ready` or `may_call`, which leave out the
    evacuated data centres.

    An older revision of an item or version of the configuration never replaces a newer
    one, and an incarnation that has reported that it is leaving stays so, also if the
    store is restored from an older copy.

    Parameters
    ----------
    decode : callable
        Decodes an item.
    lapse_grace : timedelta
        Time for which an endpoint stays in use after its entry expired because of an
        outage of the store.  Entries that disappear within this time after the
        outage count as expired because of it.
    entry_lifetime : timedelta
        Time after which the store removes an entry that its endpoint no longer writes.
    clock : Clock
        The process's clock.
    prepare_items : callable, optional
        Decodes the large items of a snapshot that is about to be applied.

    Attributes
    ----------
    cache : ItemCache
        Latest known revision of each item.
    freshness : Freshness
        How recently the store has confirmed the items.
    copies : Copies
        Copies of missing items that are on their way.
    configuration : Configuration or None
        The active configuration.
    endpoints : dict of Endpoint
        Registered endpoints by the key of their item.
    leaving : set of str
        Incarnations that have reported that they are leaving.
    lapsed_until : dict of datetime
        End of the grace period of endpoints whose entries expired because of an
        outage, by the key of their item.
    departures : Departures
        Endpoints whose entries were removed, and entries that a copy has brought back.
    store_returned_at : datetime or None
        End of the last outage of the store.
    by_service : dict of list of Endpoint
        Registered endpoints that are not leaving, by service.
    incarnations : dict of Endpoint
        Registered endpoints by the name of their incarnation.
    on_change : list of callable
        Called after each applied snapshot, and when grace periods have ended.
    on_entry : list of callable
        Called with each endpoint whose entry was read, and whether that was in the
        first read of this process.
    on_revoked : list of callable
        Called with the name of a data centre whose evacuation has ended.
    evacuations : Evacuations
        Evacuations in force.
    versions : ServedVersions
        Software versions of the endpoints.
    refused : dict of str
        Problems of the items that can't be decoded, by key.
    """

    __slots__ = (
        "decode",
        "prepare_items",
        "lapse_grace",
        "entry_lifetime",
        "clock",
        "cache",
        "freshness",
        "copies",
        "configuration",
        "endpoints",
        "leaving",
        "lapsed_until",
        "departures",
        "store_returned_at",
        "by_service",
        "incarnations",
        "on_change",
        "on_entry",
        "on_revoked",
        "evacuations",
        "versions",
        "refused",
    )

    def __init__(
        self,
        *,
        decode: ItemDecoder,
        lapse_grace: timedelta,
        entry_lifetime: timedelta,
        clock: Clock,
        prepare_items: PrepareItems = prepare_nothing,
    ):
        self.decode = decode
        self.prepare_items = prepare_items
        self.lapse_grace = lapse_grace
        self.entry_lifetime = entry_lifetime
        self.clock = clock
        self.cache = ItemCache()
        self.freshness = Freshness(cache=self.cache, clock=clock)
        self.freshness.on_return.append(self.start_lapse_grace)
        self.copies = Copies(clock=clock)
        self.configuration: Configuration | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.leaving: set[str] = set()
        self.lapsed_until: dict[str, datetime] = {}
        self.departures = Departures(clock=lambda: self.clock())
        self.store_returned_at: datetime | None = None
        self.by_service: dict[str, list[Endpoint]] = {}
        self.incarnations: dict[str, Endpoint] = {}
        self.on_change: list[Callable[[], None]] = []
        self.on_entry: list[Callable[[Endpoint, bool], None]] = []
        self.on_revoked: list[Callable[[str], None]] = []
        self.evacuations = Evacuations(clock=clock)
        self.versions = ServedVersions(clock=clock)
        self.refused: dict[str, str] = {}

    async def prepare(self, snapshot: Snapshot) -> None:
        """Decode large items, before `apply`, without making other work wait."""
        items = [item for item in snapshot.items if not self.cache.has_value(item)]
        self.copies.decoding += 1
        try:
            await self.prepare_items(replace(snapshot, items=tuple(items)))
        finally:
            self.copies.decoding -= 1

    def apply(self, snapshot: Snapshot) -> None:
        """Apply the new items of a snapshot; one of an older era has none."""
        if check_era(snapshot, known=self.cache.revision):
            self.start_lapse_grace()
        if snapshot.is_complete:
            # It doesn't show what came and went since the items that are known.
            self.versions.record_gap()
        for item in self.cache.apply(snapshot):
            if item.value is None:
                self._remove(item)
            else:
                self._decode_and_apply(item)
        self._rebuild_indexes()
        if snapshot.is_complete and self.versions.known_since is None:
            self.versions.known_since = self.clock()

    def add_history(self, history: History, *, since: datetime) -> bool:
        """Learn which software versions have served before this process started.

        Parameters
        ----------
        history : History
            Changes of the endpoints' entries.
        since : datetime
            Time of the first change that the history would have.

        Returns
        -------
        bool
            Whether all versions since then are known.  They are not if an entry was
            removed that the history doesn't have, or if the store was restored.
        """
        if history.revision.era != self.cache.revision.era:
            return False
        pairs = find_served_versions(history, self.decode, known=set(self.endpoints))
        if pairs is None:
            return False
        self.versions.add_history(pairs, since=since)
        return True

    def start_lapse_grace(self) -> None:
        """Start the grace period for endpoints whose entries expired in an outage."""
        self.store_returned_at = self.clock()

    def ready(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service to which new requests may be sent."""
        if self.lapsed_until or self.departures.held_until or self.evacuations.in_force:
            self._end_waits()
        return self.by_service.get(service, [])

    def may_call(self, name: str) -> bool:
        """Return whether anything at all may be sent to an incarnation.

        Nothing may be sent to one that is not registered or whose data centre is
        evacuated; one that is leaving still answers calls.
        """
        endpoint = self.incarnations.get(name)
        return endpoint is not None and not self._is_evacuated(endpoint)

    def _is_evacuated(self, endpoint: Endpoint) -> bool:
        return endpoint.data_center in self.evacuations.data_centers

    def by_incarnation(self, name: str) -> Endpoint | None:
        """Return the registered endpoint of an incarnation's name, or None."""
        return self.incarnations.get(name)

    def mark_leaving(self, name: str) -> None:
        """Record that an incarnation has reported its leaving to this process."""
        if name in self.leaving:
            return
        self.leaving.add(name)
        emit(ENDPOINT_LEAVING, endpoint=name)
        self._rebuild_indexes()

    def _decode_and_apply(self, item: Item) -> None:
        self.refused.pop(item.key, None)
        began_at = self.clock()
        match self.decode(item):
            case Ok(Endpoint() as endpoint):
                self._register(item, endpoint)
            case Ok(Configuration() as configuration):
                self._activate(configuration, self.clock() - began_at)
            case Ok(Evacuation() as evacuation):
                era = self.cache.revision.era
                if self.evacuations.apply(item.key, evacuation, era):
                    emit(EVACUATION_IN_FORCE, data_center=evacuation.data_center)
            case Ok(_):
                return
            case Err(error):
                emit(
                    ITEM_REFUSED,
                    key=item.key,
                    revision=item.revision,
                    problem=str(error),
                )
                self.lapsed_until.pop(item.key, None)
                self.endpoints.pop(item.key, None)
                self.refused[item.key] = str(error)

    def _register(self, item: Item, endpoint: Endpoint) -> None:
        key = item.key
        self.lapsed_until.pop(key, None)
        self._hold_if_departed(item, endpoint)
        if endpoint.state is EndpointState.LEAVING:
            self.leaving.add(endpoint.incarnation)
        is_first_read = self.versions.known_since is None
        for listener in self.on_entry:
            listener(endpoint, is_first_read)
        if self.endpoints.get(key) == endpoint:
            return
        self.versions.record(endpoint.service, endpoint.version)
        self.endpoints[key] = endpoint
        emit(
            ENDPOINT_LISTED,
            endpoint=endpoint.incarnation,
            service=endpoint.service,
            version=endpoint.version,
            address=str(endpoint.address),
            state=endpoint.state.value,
        )

    def _hold_if_departed(self, item: Item, endpoint: Endpoint) -> None:
        cache, wait = self.cache, self.entry_lifetime + self.lapse_grace
        name = endpoint.incarnation
        is_held = self.departures.hold(
            name,
            era=cache.revision.era,
            is_written=item.revision > cache.era_start,
            wait=wait,
        )
        if is_held:
            emit(ENDPOINT_HELD, endpoint=name, seconds=wait.total_seconds())

    def _activate(self, configuration: Configuration, decoding: timedelta) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            emit(
                CONFIGURATION_OLD,
                version=configuration.version,
                in_force=current.version,
            )
            return
        self.configuration = configuration
        emit(
            CONFIGURATION_IN_FORCE,
            version=configuration.version,
            decode_ms=decoding // timedelta(milliseconds=1),
        )

    def _end_evacuation(self, item: Item) -> None:
        cache, current = self.cache, self.evacuations.in_force[item.key]
        is_copy = item.revision <= cache.era_start
        ended = self.evacuations.remove(
            item.key, era=cache.revision.era, is_copy=is_copy
        )
        if item.key in self.evacuations.in_force:
            seconds = (current.held_until - self.clock()).total_seconds()
            data_center = current.data_center
            emit(EVACUATION_HELD, data_center=data_center, seconds=seconds)
        elif ended is not None:
            self._announce_revoked(ended)

    def _announce_revoked(self, data_center: str) -> None:
        emit(EVACUATION_REVOKED, data_center=data_center)
        for listener in self.on_revoked:
            listener(data_center)

    def _remove(self, item: Item) -> None:
        if item.key in self.evacuations.in_force:
            self._end_evacuation(item)
            return
        was_refused = self.refused.pop(item.key, None) is not None
        endpoint = self.endpoints.get(item.key)
        if endpoint is None:
            if not was_refused:
                # Its entry was written and removed without being seen here.
                self.versions.record_gap()
            return
        now = self.clock()
        name = endpoint.incarnation
        if self._is_in_lapse_grace(now) and not self._is_unused(name):
            self.lapsed_until[item.key] = now + self.lapse_grace
            emit(ENDPOINT_MISSING, endpoint=name)
            return
        self._unregister(item.key)

    def _is_unused(self, name: str) -> bool:
        return name in self.leaving or name in self.departures.held_until

    def _is_in_lapse_grace(self, now: datetime) -> bool:
        if self.store_returned_at is None:
            return False
        return now < self.store_returned_at + self.lapse_grace

    def _end_waits(self) -> None:
        """Remove endpoints whose grace period is over; admit those held long enough."""
        now = self.clock()
        expired = [key for key, until in self.lapsed_until.items() if now >= until]
        admitted = self.departures.end_holds()
        for key in expired:
            self._unregister(key)
        ended = self.evacuations.end_holds()
        for data_center in ended:
            self._announce_revoked(data_center)
        if expired or admitted or ended:
            self._rebuild_indexes()

    def _unregister(self, key: str) -> None:
        self.lapsed_until.pop(key, None)
        name = self.endpoints.pop(key).incarnation
        emit(ENDPOINT_GONE, endpoint=name)
        self.departures.record(name, era=self.cache.revision.era)

    def _rebuild_indexes(self) -> None:
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            is_unused = self._is_unused(endpoint.incarnation)
            if not is_unused and not self._is_evacuated(endpoint):
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self.by_service = by_service
        registered = self.endpoints.values()
        self.versions.update((one.service, one.version) for one in registered)
        self.incarnations = {one.incarnation: one for one in registered}
        for listener in self.on_change:
            listener()
