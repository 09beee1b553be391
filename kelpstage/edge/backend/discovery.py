"""Reading the list of lives: one edge for all, about once a second.

The list is priced, limited in calls for all nodes together, paged, late, and may
fail. So one edge reads and tells the others (`roll.py`). Who reads is settled without
a lock: whoever read last goes on; an edge that has heard no fresh list for 1.6 s, and
0.4 s more for each edge that ranks before it, reads itself, after it has asked the
reader; of two readers that hear of each other the one that ranks first goes on.

In a small fleet the reader tells everybody. In a larger one it tells one relay in
each zone whom to tell there, and each relay tells five at most, who tell the rest:
what crosses between regions grows with the zones, not with the nodes.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from collections import Counter
from typing import Any, Callable, Iterable, Protocol

from kelpstage.common.errors.backends import InvalidReplyError
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.common.transport import frames
from kelpstage.common.transport.address import is_address
from kelpstage.common.transport.messages import EndpointUpdate, FetchEndpoints
from kelpstage.edge.backend.endpoint_list import GAP, TAKEN, EndpointList
from kelpstage.edge.backend.instance import Instance, bounded
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.gossip.swim import ALIVE, LEAVING, SUSPECT, Swim

READ_US = 1_000_000
SILENCE_US = 1_600_000  # without a fresh list for so long, the first in rank reads
RANK_US = 400_000
ASK_US = 1_400_000  # without news for so long, the reader is asked
ASK_WAIT_US = 250_000
FIRST_US, FIRST_SPREAD_US = 100_000, 1_500_000
BACK_OFF_US = 1_000_000
BACK_OFF_DOUBLINGS = 3
PAGES_AT_MOST, FIRST_PAGES_AT_MOST = 20, 60
READING_US = 2_500_000
SHARE_OF_CALLS = 0.5  # of the calls that the list takes from all nodes
LEAST_WAIT_US, LOOK_US = 50_000, 200_000
MEASURE_US = 5_000_000
LEAVING_US = 8_000_000
DIRECT_COUNT = 16
RELAY_FAN_OUT = 5


class ListSource(Protocol):
    """Knows the form of a list: what to call for a page, and what a page says.

    An entry that can't be read is passed over; a page that can't is a `KelpstageError`."""

    def page_call(self, token: str | None) -> HttpCall: ...
    def read_page(self, reply: HttpReply) -> tuple[list[Instance], str | None] | KelpstageError: ...


class OwnListSource:
    """The product's own form: `{"instances": [{...}], "next": token or null}`.

    >>> adapter = OwnListSource(url="http://127.0.0.1:9/lives")
    >>> adapter.page_call("p2").url
    'http://127.0.0.1:9/lives?page=p2'
    >>> row = '{"instance": "i", "service": "s", "address": "127.0.0.1:8", "slots": 2}'
    >>> instances, token = adapter.read_page(
    ...     HttpReply(status=200, body=f'{{"lives": [{row}, 7], "next": null}}'.encode()))
    >>> instances[0].slots, len(instances), token
    (2, 1, None)
    >>> adapter.read_page(HttpReply(status=429)).part
    'status'
    """

    def __init__(self, *, url: str) -> None:
        self._url = url

    def page_call(self, token: str | None) -> HttpCall:
        query = f"?page={token}" if token else ""
        return HttpCall(method="GET", url=f"{self._url}{query}", wait_us=800_000, line_limit=1)

    def read_page(self, reply: HttpReply) -> tuple[list[Instance], str | None] | KelpstageError:
        if reply.status != 200:
            return InvalidReplyError(backend="list", part="status", why=str(reply.status))
        try:
            page = json.loads(reply.body)
            rows, token = page["lives"], page.get("next")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            return InvalidReplyError(backend="list", part="form", why=type(error).__name__)
        if not isinstance(rows, list) or not isinstance(token, (str, type(None))):
            return InvalidReplyError(backend="list", part="form", why="no list, or no token")
        return [instance for instance in map(_own_instance, rows) if instance is not None], token


def _own_instance(row: Any) -> Instance | None:
    if not isinstance(row, dict):
        return None
    texts = [row.get(name) for name in ("instance", "service")]
    texts += [row.get("zone", ""), row.get("revision", "")]
    slots, cold_us = row.get("slots", 1), row.get("cold_us", 0)
    if not all(isinstance(text, str) for text in texts) or not texts[0] or not texts[1]:
        return None
    if (
        type(slots) is not int
        or type(cold_us) is not int
        or not is_address(address=row.get("address"))
    ):
        return None
    instance = Instance(
        instance_id=texts[0],
        service=texts[1],
        address=row["address"],
        zone=texts[2],
        slots=max(1, slots),
        is_draining=row.get("state") == "draining",
        cold_us=max(0, cold_us),
        revision=texts[3],
    )
    return bounded(instance=instance)


def _ring(*, wake: asyncio.Future) -> None:
    if not wake.done():
        wake.set_result(None)


def rank_key(*, name: str) -> tuple[int, str]:
    """The order in which edges take over the reading; the same at each of them."""
    return zlib.crc32(f"list|{name}".encode()), name


def shares(*, addresses: list[str], fan_out: int) -> list[tuple[str, list[str]]]:
    """Who is told, and whom each of them tells in turn.

    >>> shares(addresses=["a", "b", "c", "d", "e"], fan_out=2)
    [('a', ['c', 'e']), ('b', ['d'])]
    >>> shares(addresses=[], fan_out=5)
    []
    """
    return [
        (addresses[at], addresses[at + fan_out :: fan_out])
        for at in range(min(fan_out, len(addresses)))
    ]


def plan_telling(*, by_zone: dict[str, list[str]], own_zone: str) -> list[tuple[str, list[str]]]:
    """Whom the reader tells of a reading, and whom those tell. Addresses in each zone
    stand with the best relay first.

    >>> plan_telling(by_zone={"z": ["a", "b"], "y": ["c"]}, own_zone="z")
    [('a', []), ('b', []), ('c', [])]
    >>> many = {zone: [f"{zone}{n}" for n in range(15)] for zone in "abcdef"}
    >>> plan = plan_telling(by_zone=many, own_zone="a")
    >>> len(plan), plan[-1][0], len(plan[-1][1]), sum(1 + len(rest) for _, rest in plan)
    (10, 'f0', 14, 90)
    """
    if sum(map(len, by_zone.values())) <= DIRECT_COUNT:
        return [(address, []) for zone in by_zone.values() for address in zone]
    plan = shares(addresses=by_zone.get(own_zone, []), fan_out=RELAY_FAN_OUT)
    for zone, addresses in sorted(by_zone.items()):
        if zone != own_zone:
            plan += shares(addresses=addresses, fan_out=1)
    return plan


class DiscoveryTask:
    """Keeps the book's lives as fresh as the list gives them.

    Needs `Ports` (clock, net, rand), the own lines, the gossip's table, and an adapter;
    without an adapter it only takes what others tell. `on_changed` hears the instances
    that came, went or began to drain.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        lines: Any,
        swim: Swim,
        registry: BackendRegistry,
        adapter: ListSource | None,
        own: str,
        counts: Counter,
        is_ready: Callable[[], bool] = lambda: True,
        on_changed: Callable[[list[str]], None] = lambda names: None,
        calls_per_s: float = 0.0,
    ) -> None:
        self._ports = ports
        self._lines = lines
        self._swim = swim
        self._registry = registry
        self._adapter = adapter
        self._own = own
        self._counts = counts
        self._is_ready = is_ready
        self._on_changed = on_changed
        self._calls_per_s = calls_per_s
        self._me = swim.me.name
        self.roll = EndpointList(me=self._me, own=own)
        self.is_reader = False
        self.is_leaving = False
        now_us = ports.clock.now_us()
        self._silent_from_us = 0
        self._first_us = now_us + FIRST_US + ports.rand.randrange(FIRST_SPREAD_US)
        self._read_us = 0  # when the next reading of a reader is due
        self._gap_us = READ_US
        self._pages = 0  # of the last reading; 0: none yet
        self._blocked_us = 0
        self._failures = 0
        self._asked_us = 0
        self._is_asking = False
        self._measured_us = 0
        self._outranked_us = -1
        self._wake: asyncio.Future | None = None
        ports.keep(self._run())

    # --- the clock --------------------------------------------------------------------

    async def _run(self) -> None:
        clock = self._ports.clock
        while True:
            now_us = clock.now_us()
            self._look_around(now_us=now_us)
            if self._is_read_due(now_us=now_us):
                await self._read()
            elif self._is_ask_due(now_us=now_us):
                await self._ask(address=self._whom_to_ask())
            else:
                await self._sleep(us=self._wait_us(now_us=now_us))

    async def _sleep(self, *, us: int) -> None:
        """Until the time is over, or `_wake` is rung."""
        wake = self._wake = asyncio.get_running_loop().create_future()
        self._ports.clock.later(us=us, verb=lambda: _ring(wake=wake))
        await wake

    def _look_around(self, *, now_us: int) -> None:
        self._registry.set_live_edges(count=len(self._swim.live()), now_us=now_us)
        if now_us - self._measured_us >= MEASURE_US:
            self._measured_us = now_us
            self._registry.measure_distances()

    def _wait_us(self, *, now_us: int) -> int:
        if self.is_reader:
            return min(READ_US, max(LEAST_WAIT_US, self._read_us - now_us))
        if not self.roll.is_known:
            return 2 * LEAST_WAIT_US
        silent_us = self.roll.heard_us + ASK_US
        due_us = max(self._own_turn_us(), self._blocked_us)
        if now_us < silent_us:
            return min(READ_US, max(LEAST_WAIT_US, min(due_us, silent_us) - now_us))
        # Silence: those that rank before this edge may be found dead any moment.
        return min(LOOK_US, max(LEAST_WAIT_US, due_us - now_us))

    def _is_read_due(self, *, now_us: int) -> bool:
        if self._adapter is None or self.is_leaving or now_us < self._blocked_us:
            return False
        if self.is_reader:
            return now_us >= self._read_us
        return now_us >= self._own_turn_us()

    def _own_turn_us(self) -> int:
        """When this node reads, if it hears nothing until then."""
        if not self.roll.is_known:
            return self._first_us
        from_us = min(self.roll.fresh_us, self._silent_from_us or self.roll.fresh_us)
        return from_us + SILENCE_US + RANK_US * self._rank()

    def _rank(self) -> int:
        """How many edges would read before this one, were the reader gone."""
        mine = rank_key(name=self._me)
        ahead = 0
        for name, member in self._swim.members.items():
            info = member.info
            if info.status != ALIVE or not info.is_ready or name == self.roll.reader:
                continue
            ahead += rank_key(name=name) < mine or not self._is_ready()
        return ahead

    # --- reading ------------------------------------------------------------------------

    async def _read(self) -> None:
        clock = self._ports.clock
        started_us = clock.now_us()
        outcome = await self._read_pages(until_us=started_us + READING_US)
        now_us = clock.now_us()
        if isinstance(outcome, KelpstageError):
            self._back_off(now_us=now_us)
            return
        done = self.roll.take_reading(instances=outcome, read_us=started_us, now_us=now_us)
        if done == "stale":
            self._counts["list_empty"] += 1
            self._back_off(now_us=now_us)
            return
        self._counts["list_readings"] += 1
        self._failures = 0
        # One that ranks first may have told of its own reading during this one.
        self.is_reader = self._outranked_us < started_us
        self._silent_from_us = 0
        self._read_us = max(started_us + self._gap_us, now_us + LEAST_WAIT_US)
        if done == TAKEN:
            self._install(now_us=now_us)
        self._tell(now_us=now_us)

    def _back_off(self, *, now_us: int) -> None:
        """The list did not answer, or not properly: nothing that is known changes, and
        another edge may have better luck."""
        self._counts["list_failures"] += 1
        self.is_reader = False
        wait_us = BACK_OFF_US << min(self._failures, BACK_OFF_DOUBLINGS)
        self._failures += 1
        self._blocked_us = now_us + wait_us // 2 + self._ports.rand.randrange(wait_us)

    async def _read_pages(self, *, until_us: int) -> list[Instance] | KelpstageError:
        """The whole list: all its pages, or why there is none."""
        found: dict[str, Instance] = {}
        tokens: set[str] = set()
        token: str | None = None
        most = max(PAGES_AT_MOST, 2 * self._pages) if self._pages else FIRST_PAGES_AT_MOST
        for _ in range(most):
            self._counts["list_calls"] += 1
            reply = await self._ports.net.fetch(call=self._adapter.page_call(token))
            page = reply if isinstance(reply, KelpstageError) else self._adapter.read_page(reply)
            if isinstance(page, KelpstageError):
                return page
            instances, token = page
            for instance in instances:
                known = found.setdefault(instance.instance_id, instance)
                if (known.service, known.address) != (instance.service, instance.address):
                    return InvalidReplyError(
                        backend="list", part="entry", why="an instance stands twice"
                    )
                if instance.is_draining:  # it moved to a later page meanwhile
                    found[instance.instance_id] = instance
            if token is None:
                self._pages = len(tokens) + 1
                self._set_gap(pages=self._pages)
                return list(found.values())
            if token in tokens:
                return InvalidReplyError(backend="list", part="token", why="a page stands twice")
            if self._ports.clock.now_us() > until_us:
                return InvalidReplyError(backend="list", part="pages", why="took too long")
            tokens.add(token)
        return InvalidReplyError(backend="list", part="pages", why=f"more than {most}")

    def _set_gap(self, *, pages: int) -> None:
        """A list of many pages is read more seldom, if its rate asks for that."""
        room = self._calls_per_s * SHARE_OF_CALLS
        self._gap_us = max(READ_US, int(pages / room * 1_000_000)) if room else READ_US

    def _install(self, *, now_us: int) -> None:
        names = self._registry.set_instances(self.roll.as_of(now_us=now_us), now_us)
        if names:
            self._on_changed(names)

    # --- telling ------------------------------------------------------------------------

    def _tell(self, *, now_us: int, is_last: bool = False) -> None:
        """Tell all edges that are not dead, through relays if they are many; those that
        leave too, for as long as they may have requests in work."""
        by_zone: dict[str, list[tuple]] = {}
        for name, member in self._swim.members.items():
            is_leaving = member.info.status == LEAVING
            if (
                is_leaving
                and now_us - member.since_us < LEAVING_US
                or (member.info.status in (ALIVE, SUSPECT))
            ):
                by_zone.setdefault(member.info.zone, []).append(
                    (member.info.status != ALIVE, rank_key(name=name), member.info.address)
                )
        plan = plan_telling(
            by_zone={zone: [one[-1] for one in sorted(ones)] for zone, ones in by_zone.items()},
            own_zone=self._swim.me.zone,
        )
        self._send(plan=plan, now_us=now_us, is_last=is_last)

    def _send(
        self, *, plan: Iterable[tuple[str, list[str]]], now_us: int, is_last: bool = False
    ) -> None:
        news = self.roll.news(now_us=now_us)
        for address, tell in plan:
            # A frame is packed at once, so that one message may serve for all.
            news.tell, news.is_last = tell, is_last
            self._lines.send(address=address, message=news)

    def take(self, *, news: EndpointUpdate) -> None:
        """A peer tells."""
        now_us = self._ports.clock.now_us()
        self._take(news=news, now_us=now_us)
        if news.tell:
            self._send(
                plan=shares(addresses=list(news.tell), fan_out=RELAY_FAN_OUT),
                now_us=now_us,
                is_last=news.is_last,
            )

    def _take(self, *, news: EndpointUpdate, now_us: int) -> None:
        outcome = self.roll.take_news(news=news, now_us=now_us)
        if outcome == GAP:
            self._counts["list_gaps"] += 1
            if not self._is_asking:
                self._ports.spawn(self._ask(address=news.sender))
            return
        if outcome == "stale":
            return
        if outcome == TAKEN:
            self._install(now_us=now_us)
        self._silent_from_us = now_us - SILENCE_US if news.is_last else 0
        if news.is_last and self._wake is not None:
            _ring(wake=self._wake)
        is_other_first = rank_key(name=news.reader) < rank_key(name=self._me)
        if is_other_first and not news.is_last and news.age_us < SILENCE_US:
            self._outranked_us = now_us
            self.is_reader = False  # two read: the one that ranks first goes on

    # --- asking -------------------------------------------------------------------------

    def _is_ask_due(self, *, now_us: int) -> bool:
        if self.is_reader or self._is_asking or now_us < self._asked_us + ASK_WAIT_US:
            return False
        if not self.roll.is_known:
            return bool(self._whom_to_ask())
        is_silent = now_us >= self.roll.heard_us + ASK_US
        return (
            is_silent and self._asked_us < self.roll.heard_us + ASK_US and bool(self._whom_to_ask())
        )

    def _whom_to_ask(self) -> str:
        """The reader; or anybody, if none is known."""
        reader = self._swim.members.get(self.roll.reader)
        if reader is not None and reader.info.status in (ALIVE, SUSPECT):
            return reader.info.address
        if self.roll.is_known:
            return ""
        others = sorted(
            member.info.address
            for member in self._swim.members.values()
            if member.info.status == ALIVE
        )
        return self._ports.rand.choice(others) if others else ""

    async def _ask(self, *, address: str) -> None:
        """Have the list from a peer: the whole of it, or that nothing changed."""
        self._is_asking = True
        self._asked_us = self._ports.clock.now_us()
        self._counts["list_asks"] += 1
        reply = await self._lines.call(
            address=address,
            message=FetchEndpoints(digest=self.roll.digest, has_list=self.roll.is_known),
            wait_us=ASK_WAIT_US,
            lane=frames.BULK,
        )
        self._is_asking = False
        if isinstance(reply, EndpointUpdate):
            self._take(news=reply, now_us=self._ports.clock.now_us())

    def answer(self, *, ask: FetchEndpoints) -> EndpointUpdate:
        """What a peer that asks is told."""
        is_whole = not ask.has_list or ask.digest != self.roll.digest
        return self.roll.news(now_us=self._ports.clock.now_us(), is_whole=is_whole)

    # --- the end ------------------------------------------------------------------------

    def leave(self) -> None:
        """This node stops: if it reads, another is to read at once. It still hears of
        changes, for what it has in work."""
        if self.is_reader:
            self._tell(now_us=self._ports.clock.now_us(), is_last=True)
        self.is_reader = False
        self.is_leaving = True
