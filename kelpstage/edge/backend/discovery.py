"""Keeping the endpoint list fresh: one edge reads it for all, about once a second.

The list is priced, limited in calls for all edges together, paged, late, and may
fail. So one edge, the reader, reads it and sends updates to the others
(`endpoint_list.py`, `dissemination.py`). Who reads is settled without a lock: whoever
read last goes on; an edge that has received no fresh list for 1.6 s, and 0.4 s more for
each edge that ranks before it, reads itself, after it has asked the reader; of two
readers that receive updates of each other the one that ranks first goes on.
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
    shares,
)
from kelpstage.edge.backend.endpoint_list import EndpointList, Outcome
from kelpstage.edge.backend.endpoint_source import EndpointSource
from kelpstage.edge.backend.listing import ListingReader
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.gossip.members import ALIVE, LEAVING, SUSPECT
from kelpstage.edge.gossip.swim import Swim

READ_INTERVAL_US = 1_000_000
READ_TIMEOUT_US = 2_500_000  # a reading asks for no further page after that
READER_SILENCE_US = 1_600_000  # without a fresh list for so long, the first in rank reads
READER_RANK_DELAY_US = 400_000  # more for each edge that ranks before this one
ASK_AFTER_US = 1_400_000  # without an update for so long, the reader is asked
ASK_TIMEOUT_US = 250_000
FIRST_READ_US, FIRST_READ_JITTER_US = 100_000, 1_500_000  # after the start
BACKOFF_US = 1_000_000  # after a failed reading, doubled by each in a row
BACKOFF_DOUBLINGS = 3
SHARE_OF_CALLS = 0.5  # of the calls that the list takes from all edges
SHORTEST_SLEEP_US, SILENT_SLEEP_US = 50_000, 200_000
DISTANCES_INTERVAL_US = 5_000_000
LEAVING_PEER_US = 8_000_000  # a peer that leaves may have requests in work for so long


def _wake_up(*, wake: asyncio.Future[None]) -> None:
    if not wake.done():
        wake.set_result(None)


class DiscoveryTask:
    """Keeps the registry's instances as fresh as the endpoint list gives them.

    Without an `adapter` to read from it only takes over the updates of others.
    `on_changed` is given the instances that came, went or began to drain; `is_ready`
    tells whether this edge serves; `calls_per_s` is the list's limit for all edges.
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
        self._silent_from_us = 0
        self._first_read_us = now_us + FIRST_READ_US + ports.rand.randrange(FIRST_READ_JITTER_US)
        self._read_us = 0  # when the next reading of a reader is due
        self._read_interval_us = READ_INTERVAL_US
        self._blocked_us = 0
        self._failures = 0
        self._asked_us = 0
        self._is_asking = False
        self._measured_us = 0
        self._outranked_us = -1
        self._wake: asyncio.Future[None] | None = None
        ports.keep(self._run())

    # --- the clock --------------------------------------------------------------------

    async def _run(self) -> None:
        clock = self._ports.clock
        while True:
            now_us = clock.now_us()
            self._refresh_registry(now_us=now_us)
            if self._is_read_due(now_us=now_us):
                await self._read()
            elif self._is_ask_due(now_us=now_us):
                await self._ask(address=self._address_to_ask())
            else:
                await self._sleep(us=self._wait_us(now_us=now_us))

    async def _sleep(self, *, us: int) -> None:
        """Until the time is over, or `_wake` is resolved."""
        wake: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._wake = wake
        self._ports.clock.later(us=us, callback=lambda: _wake_up(wake=wake))
        await wake

    def _refresh_registry(self, *, now_us: int) -> None:
        self._registry.set_live_edges(count=len(self._swim.live()), now_us=now_us)
        if now_us - self._measured_us >= DISTANCES_INTERVAL_US:
            self._measured_us = now_us
            self._registry.measure_distances()

    def _wait_us(self, *, now_us: int) -> int:
        if self.is_reader:
            return min(READ_INTERVAL_US, max(SHORTEST_SLEEP_US, self._read_us - now_us))
        if not self.endpoints.is_known:
            return 2 * SHORTEST_SLEEP_US
        silent_us = self.endpoints.updated_us + ASK_AFTER_US
        due_us = max(self._own_read_due_us(), self._blocked_us)
        if now_us < silent_us:
            return min(READ_INTERVAL_US, max(SHORTEST_SLEEP_US, min(due_us, silent_us) - now_us))
        # Silence: those that rank before this edge may be found dead any moment.
        return min(SILENT_SLEEP_US, max(SHORTEST_SLEEP_US, due_us - now_us))

    def _is_read_due(self, *, now_us: int) -> bool:
        if self._listing is None or self.is_leaving or now_us < self._blocked_us:
            return False
        if self.is_reader:
            return now_us >= self._read_us
        return now_us >= self._own_read_due_us()

    def _own_read_due_us(self) -> int:
        """When this edge reads itself, if it receives nothing until then."""
        if not self.endpoints.is_known:
            return self._first_read_us
        from_us = min(self.endpoints.fresh_us, self._silent_from_us or self.endpoints.fresh_us)
        return from_us + READER_SILENCE_US + READER_RANK_DELAY_US * self._rank()

    def _rank(self) -> int:
        """How many edges would read before this one, were the reader gone."""
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
        assert self._listing is not None  # else no reading is due
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
        # One that ranks first may have sent its own reading during this one.
        self.is_reader = self._outranked_us < started_us
        self._silent_from_us = 0
        self._read_us = max(started_us + self._read_interval_us, now_us + SHORTEST_SLEEP_US)
        if done == Outcome.TAKEN:
            self._install(now_us=now_us)
        self._disseminate(now_us=now_us)

    def _back_off(self, *, now_us: int) -> None:
        """The list did not answer, or not properly: nothing that is known changes, and
        another edge may have better luck."""
        self._counts["list_failures"] += 1
        self.is_reader = False
        wait_us = BACKOFF_US << min(self._failures, BACKOFF_DOUBLINGS)
        self._failures += 1
        self._blocked_us = now_us + wait_us // 2 + self._ports.rand.randrange(wait_us)

    def _set_read_interval(self, *, pages: int) -> None:
        """A list of many pages is read less often, if its limit of calls asks for that."""
        room = self._calls_per_s * SHARE_OF_CALLS
        needed_us = int(pages / room * 1_000_000) if room else 0
        self._read_interval_us = max(READ_INTERVAL_US, needed_us)

    def _install(self, *, now_us: int) -> None:
        names = self._registry.set_instances(self.endpoints.as_of(now_us=now_us), now_us)
        if names:
            self._on_changed(names)

    # --- updates ------------------------------------------------------------------------

    def _disseminate(self, *, now_us: int, is_last: bool = False) -> None:
        """Send an update to all edges that are not dead, through relays if they are many;
        to those that leave too, for as long as they may have requests in work."""
        by_zone: dict[str, list[tuple[bool, tuple[int, str], str]]] = {}
        for name, member in self._swim.members.items():
            status = member.info.status
            may_have_work = now_us - member.since_us < LEAVING_PEER_US
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
            # A frame is packed at once, so that one message may serve for all.
            update.tell, update.is_last = relayed_to, is_last
            self._transport.send(address=address, message=update)

    def take(self, *, update: EndpointUpdate) -> None:
        """A peer sent an update: take it over, and relay it to those it names."""
        now_us = self._ports.clock.now_us()
        self._take(update=update, now_us=now_us)
        if update.tell:
            self._send(
                plan=shares(addresses=list(update.tell), fan_out=RELAY_FAN_OUT),
                now_us=now_us,
                is_last=update.is_last,
            )

    def _take(self, *, update: EndpointUpdate, now_us: int) -> None:
        outcome = self.endpoints.apply_update(update=update, now_us=now_us)
        if outcome == Outcome.GAP:
            self._counts["list_gaps"] += 1
            if not self._is_asking:
                self._ports.spawn(self._ask(address=update.sender))
            return
        if outcome == Outcome.STALE:
            return
        if outcome == Outcome.TAKEN:
            self._install(now_us=now_us)
        self._silent_from_us = now_us - READER_SILENCE_US if update.is_last else 0
        if update.is_last and self._wake is not None:
            _wake_up(wake=self._wake)
        is_other_first = rank_key(name=update.reader) < rank_key(name=self._me)
        if is_other_first and not update.is_last and update.age_us < READER_SILENCE_US:
            self._outranked_us = now_us
            self.is_reader = False  # two read: the one that ranks first goes on

    # --- asking -------------------------------------------------------------------------

    def _is_ask_due(self, *, now_us: int) -> bool:
        if self.is_reader or self._is_asking or now_us < self._asked_us + ASK_TIMEOUT_US:
            return False
        if not self.endpoints.is_known:
            return bool(self._address_to_ask())
        silent_us = self.endpoints.updated_us + ASK_AFTER_US
        return self._asked_us < silent_us <= now_us and bool(self._address_to_ask())

    def _address_to_ask(self) -> str:
        """The reader; or anybody, if none is known."""
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

    async def _ask(self, *, address: str) -> None:
        """Fetch the list from a peer: the complete one, or that nothing changed."""
        self._is_asking = True
        self._asked_us = self._ports.clock.now_us()
        self._counts["list_asks"] += 1
        reply = await self._transport.call(
            address=address,
            message=FetchEndpoints(digest=self.endpoints.digest, has_list=self.endpoints.is_known),
            wait_us=ASK_TIMEOUT_US,
            channel=frames.BULK,
        )
        self._is_asking = False
        if isinstance(reply, EndpointUpdate):
            self._take(update=reply, now_us=self._ports.clock.now_us())

    def answer(self, *, ask: FetchEndpoints) -> EndpointUpdate:
        """The reply to a peer that asks: what has changed, or the complete list."""
        is_whole = not ask.has_list or ask.digest != self.endpoints.digest
        return self.endpoints.update(now_us=self._ports.clock.now_us(), is_whole=is_whole)

    # --- the end ------------------------------------------------------------------------

    def leave(self) -> None:
        """This edge stops: if it is the reader, another is to read at once. It still takes
        updates, for what it has in work."""
        if self.is_reader:
            self._disseminate(now_us=self._ports.clock.now_us(), is_last=True)
        self.is_reader = False
        self.is_leaving = True
