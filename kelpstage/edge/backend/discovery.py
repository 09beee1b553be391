"""Endpoint discovery: one edge reads the endpoint list for all, about once a second.

The list is paged, lags behind the actual state, may fail, costs money for each call and has
a rate limit that all edges share. So one edge, the reader, reads it and sends updates to the
others (`endpoint_list.py`, `dissemination.py`). The reader is chosen without a lock. The edge
that read last continues. An edge that has received no fresh list for 1.6 s, plus 0.4 s for
each edge that ranks before it, first asks the reader and then reads the list itself. If two
readers receive updates from each other, the one that ranks first continues.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport import frames
from kelpstage.common.transport.messages import EndpointUpdate, FetchEndpoints
from kelpstage.edge.backend.dissemination import (
    RELAY_FAN_OUT,
    Plan,
    dissemination_plan,
    rank_key,
    relay_plan,
)
from kelpstage.edge.backend.endpoint_list import EndpointList, Outcome
from kelpstage.edge.backend.endpoint_source import EndpointSource
from kelpstage.edge.backend.listing import ListingReader
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.gossip.members import ALIVE, LEAVING, SUSPECT
from kelpstage.edge.gossip.swim import Swim

READ_INTERVAL_US = 1_000_000
READ_TIMEOUT_US = 2_500_000  # after this, a reading requests no further page
READER_SILENCE_US = 1_600_000  # without a fresh list for this long, the first in rank reads
READER_RANK_DELAY_US = 400_000  # added for each edge that ranks before this one
FETCH_AFTER_US = 1_400_000  # without an update for this long, fetches from the reader
FETCH_TIMEOUT_US = 250_000
FIRST_READ_US, FIRST_READ_JITTER_US = 100_000, 1_500_000  # after startup
BACKOFF_US = 1_000_000  # after a failed reading; doubles with each consecutive failure
BACKOFF_DOUBLINGS = 3
CALL_LIMIT_SHARE = 0.5  # of the rate limit that all edges share
MIN_SLEEP_US, MAX_SILENT_SLEEP_US = 50_000, 200_000
DISTANCES_INTERVAL_US = 5_000_000
LEAVING_PEER_US = 8_000_000  # a leaving peer may have requests in flight for this long


def _wake_up(*, wake: asyncio.Future[None]) -> None:
    if not wake.done():
        wake.set_result(None)


class DiscoveryTask:
    """Keeps the registry's instances up to date with the endpoint list.

    Without an `adapter` to read the list, the task only applies the updates of peers.
    `on_changed` is called with the instances that were added, removed or began to drain;
    `is_ready` returns whether this edge serves requests; `calls_per_s` is the rate limit of
    the list for all edges together.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        transport: Any,
        swim: Swim,
        registry: BackendRegistry,
        adapter: EndpointSource | None,
        own: str,
        counts: Counter[str],
        is_ready: Callable[[], bool] = lambda: True,
        on_changed: Callable[[list[str]], None] = lambda names: None,
        calls_per_s: float = 0.0,
    ) -> None:
        self._ports = ports
        self._transport = transport
        self._swim = swim
        self._registry = registry
        self._listing = (
            ListingReader(ports=ports, source=adapter, counts=counts) if adapter else None
        )
        self._own = own
        self._counts = counts
        self._is_ready = is_ready
        self._on_changed = on_changed
        self._calls_per_s = calls_per_s
        self._me = swim.me.name
        self.endpoints = EndpointList(me=self._me, own=own)
        self.is_reader = False
        self.is_leaving = False
        now_us = ports.clock.now_us()
        self._silence_started_us = 0  # set by the last update of a reader; 0: use fresh_us
        self._first_read_us = now_us + FIRST_READ_US + ports.rand.randrange(FIRST_READ_JITTER_US)
        self._next_read_us = 0  # time of the next reading, if this edge is the reader
        self._read_interval_us = READ_INTERVAL_US
        self._backoff_until_us = 0
        self._failures = 0
        self._fetch_started_us = 0
        self._is_fetching = False
        self._distances_updated_us = 0
        self._outranked_us = -1
        self._wake: asyncio.Future[None] | None = None
        ports.spawn_critical(self._run())

    # --- schedule ---------------------------------------------------------------------

    async def _run(self) -> None:
        clock = self._ports.clock
        while True:
            now_us = clock.now_us()
            self._refresh_registry(now_us=now_us)
            if self._is_read_due(now_us=now_us):
                await self._read()
            elif self._is_fetch_due(now_us=now_us):
                await self._fetch_list(address=self._fetch_address())
            else:
                await self._sleep(us=self._wait_us(now_us=now_us))

    async def _sleep(self, *, us: int) -> None:
        """Sleep until the time has passed or `_wake` is resolved."""
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._wake = wake
        self._ports.clock.call_later(us=us, callback=lambda: _wake_up(wake=wake))
        await wake

    def _refresh_registry(self, *, now_us: int) -> None:
        self._registry.set_live_edges(count=len(self._swim.live()), now_us=now_us)
        if now_us - self._distances_updated_us >= DISTANCES_INTERVAL_US:
            self._distances_updated_us = now_us
            self._registry.update_distances()

    def _wait_us(self, *, now_us: int) -> int:
        if self.is_reader:
            return min(READ_INTERVAL_US, max(MIN_SLEEP_US, self._next_read_us - now_us))
        if not self.endpoints.is_known:
            return 2 * MIN_SLEEP_US
        silent_us = self.endpoints.updated_us + FETCH_AFTER_US
        due_us = max(self._own_read_due_us(), self._backoff_until_us)
        if now_us < silent_us:
            return min(READ_INTERVAL_US, max(MIN_SLEEP_US, min(due_us, silent_us) - now_us))
        # No update lately: gossip may find the edges that rank before this one dead at any time.
        return min(MAX_SILENT_SLEEP_US, max(MIN_SLEEP_US, due_us - now_us))

    def _is_read_due(self, *, now_us: int) -> bool:
        if self._listing is None or self.is_leaving or now_us < self._backoff_until_us:
            return False
        if self.is_reader:
            return now_us >= self._next_read_us
        return now_us >= self._own_read_due_us()

    def _own_read_due_us(self) -> int:
        """The time at which this edge reads the list itself, if it receives no update before."""
        if not self.endpoints.is_known:
            return self._first_read_us
        from_us = min(self.endpoints.fresh_us, self._silence_started_us or self.endpoints.fresh_us)
        return from_us + READER_SILENCE_US + READER_RANK_DELAY_US * self._rank()

    def _rank(self) -> int:
        """The number of edges that would read before this one if the reader failed."""
        mine = rank_key(name=self._me)
        ahead = 0
        for name, member in self._swim.members.items():
            info = member.info
            if info.status != ALIVE or not info.is_ready or name == self.endpoints.reader:
                continue
            ahead += rank_key(name=name) < mine or not self._is_ready()
        return ahead

    # --- reading ------------------------------------------------------------------------

    async def _read(self) -> None:
        assert self._listing is not None  # otherwise no reading is due
        clock = self._ports.clock
        started_us = clock.now_us()
        outcome = await self._listing.read(until_us=started_us + READ_TIMEOUT_US)
        now_us = clock.now_us()
        if isinstance(outcome, KelpstageError):
            self._back_off(now_us=now_us)
            return
        self._set_read_interval(pages=self._listing.pages)
        done = self.endpoints.apply_listing(instances=outcome, read_us=started_us, now_us=now_us)
        if done == Outcome.STALE:
            self._counts["list_empty"] += 1
            self._back_off(now_us=now_us)
            return
        self._counts["list_readings"] += 1
        self._failures = 0
        # An edge that ranks before this one may have sent its list during this reading.
        self.is_reader = self._outranked_us < started_us
        self._silence_started_us = 0
        self._next_read_us = max(started_us + self._read_interval_us, now_us + MIN_SLEEP_US)
        if done == Outcome.TAKEN:
            self._update_instances(now_us=now_us)
        self._disseminate(now_us=now_us)

    def _back_off(self, *, now_us: int) -> None:
        """Stop being the reader for a while after a failed reading.

        The known list stays as it is, and another edge may be able to read it.
        """
        self._counts["list_failures"] += 1
        self.is_reader = False
        wait_us = BACKOFF_US << min(self._failures, BACKOFF_DOUBLINGS)
        self._failures += 1
        self._backoff_until_us = now_us + wait_us // 2 + self._ports.rand.randrange(wait_us)

    def _set_read_interval(self, *, pages: int) -> None:
        """Read a list of many pages less often if its rate limit requires that."""
        allowed_calls_per_s = self._calls_per_s * CALL_LIMIT_SHARE
        needed_us = int(pages / allowed_calls_per_s * 1_000_000) if allowed_calls_per_s else 0
        self._read_interval_us = max(READ_INTERVAL_US, needed_us)

    def _update_instances(self, *, now_us: int) -> None:
        names = self._registry.set_instances(self.endpoints.instances_at(now_us=now_us), now_us)
        if names:
            self._on_changed(names)

    # --- updates ------------------------------------------------------------------------

    def _disseminate(self, *, now_us: int, is_last: bool = False) -> None:
        """Send an update to all edges that are not dead, through relays in a large fleet.

        Leaving edges receive it as long as they may have requests in flight.
        """
        by_zone: dict[str, list[tuple[bool, tuple[int, str], str]]] = {}
        for name, member in self._swim.members.items():
            status = member.info.status
            may_have_work = now_us - member.status_since_us < LEAVING_PEER_US
            if status in (ALIVE, SUSPECT) or status == LEAVING and may_have_work:
                by_zone.setdefault(member.info.zone, []).append(
                    (status != ALIVE, rank_key(name=name), member.info.address)
                )
        plan = dissemination_plan(
            by_zone={zone: [one[-1] for one in sorted(ones)] for zone, ones in by_zone.items()},
            own_zone=self._swim.me.zone,
        )
        self._send(plan=plan, now_us=now_us, is_last=is_last)

    def _send(self, *, plan: Plan, now_us: int, is_last: bool = False) -> None:
        update = self.endpoints.update(now_us=now_us)
        for address, relayed_to in plan:
            # The transport encodes a message at once, so one message object can be reused.
            update.tell, update.is_last = relayed_to, is_last
            self._transport.send(address=address, message=update)

    def on_update(self, *, update: EndpointUpdate) -> None:
        """Apply an update from a peer and relay it to the addresses that it names."""
        now_us = self._ports.clock.now_us()
        self._apply_update(update=update, now_us=now_us)
        if update.tell:
            self._send(
                plan=relay_plan(addresses=list(update.tell), fan_out=RELAY_FAN_OUT),
                now_us=now_us,
                is_last=update.is_last,
            )

    def _apply_update(self, *, update: EndpointUpdate, now_us: int) -> None:
        outcome = self.endpoints.apply_update(update=update, now_us=now_us)
        if outcome == Outcome.GAP:
            self._counts["list_gaps"] += 1
            if not self._is_fetching:
                self._ports.spawn(self._fetch_list(address=update.sender))
            return
        if outcome == Outcome.STALE:
            return
        if outcome == Outcome.TAKEN:
            self._update_instances(now_us=now_us)
        self._silence_started_us = now_us - READER_SILENCE_US if update.is_last else 0
        if update.is_last and self._wake is not None:
            _wake_up(wake=self._wake)
        is_other_first = rank_key(name=update.reader) < rank_key(name=self._me)
        if is_other_first and not update.is_last and update.age_us < READER_SILENCE_US:
            self._outranked_us = now_us
            self.is_reader = False  # of two readers, the one that ranks first continues

    # --- fetching from a peer -----------------------------------------------------------

    def _is_fetch_due(self, *, now_us: int) -> bool:
        if (
            self.is_reader
            or self._is_fetching
            or now_us < self._fetch_started_us + FETCH_TIMEOUT_US
        ):
            return False
        if not self.endpoints.is_known:
            return bool(self._fetch_address())
        silent_us = self.endpoints.updated_us + FETCH_AFTER_US
        return self._fetch_started_us < silent_us <= now_us and bool(self._fetch_address())

    def _fetch_address(self) -> str:
        """The address of the reader; while no list is known, that of any live edge."""
        reader = self._swim.members.get(self.endpoints.reader)
        if reader is not None and reader.info.status in (ALIVE, SUSPECT):
            return reader.info.address
        if self.endpoints.is_known:
            return ""
        others = sorted(
            member.info.address
            for member in self._swim.members.values()
            if member.info.status == ALIVE
        )
        return self._ports.rand.choice(others) if others else ""

    async def _fetch_list(self, *, address: str) -> None:
        """Fetch the list from a peer, which sends the complete list only if the digests differ."""
        self._is_fetching = True
        self._fetch_started_us = self._ports.clock.now_us()
        self._counts["list_asks"] += 1
        reply = await self._transport.call(
            address=address,
            message=FetchEndpoints(digest=self.endpoints.digest, has_list=self.endpoints.is_known),
            wait_us=FETCH_TIMEOUT_US,
            channel=frames.BULK,
        )
        self._is_fetching = False
        if isinstance(reply, EndpointUpdate):
            self._apply_update(update=reply, now_us=self._ports.clock.now_us())

    def on_fetch(self, *, ask: FetchEndpoints) -> EndpointUpdate:
        """Return the recent changes to a peer with the same digest, else the complete list."""
        is_whole = not ask.has_list or ask.digest != self.endpoints.digest
        return self.endpoints.update(now_us=self._ports.clock.now_us(), is_whole=is_whole)

    # --- shutdown -----------------------------------------------------------------------

    def leave(self) -> None:
        """Stop reading because this edge shuts down.

        If this edge is the reader, its last update makes another edge take over at once. It
        still applies updates, for its requests in flight.
        """
        if self.is_reader:
            self._disseminate(now_us=self._ports.clock.now_us(), is_last=True)
        self.is_reader = False
        self.is_leaving = True
