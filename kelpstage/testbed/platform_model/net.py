"""The simulated network of the platform: places, connections that are kept, HTTP over them.

Connections are modelled one by one (opened, busy, idle, closed by either side, reset), bytes
are not: a request and an answer travel whole, or are cut off, or are no answer at all.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply, Owner
from kelpstage.testbed.simulation.world import Listener, Machine, SimNet, SimProcess, World, _Closer

SYN_AGAIN_US = 1_000_000
IDLE_US = 20_000_000
WHOLE, CUT_OFF, GARBAGE, CLOSED, RESET = "whole", "cut off", "garbage", "closed", "reset"


@dataclass(kw_only=True)
class PlatformWorld(World):
    """A world whose delays are those between zones, regions and clients."""

    regions: dict[str, str] = field(default_factory=dict)
    zone_us: int = 1_400
    region_us: int = 8_000
    client_us: int = 1_000
    slowed: dict[str, int] = field(default_factory=dict)  # machine -> extra one way

    def delay_us(self, *, source: Machine, target: Machine) -> int:
        """The one-way delay in microseconds: by distance, -5 % to +10 %, and what is slowed.

        Within one machine it is 30.
        """
        if source is target:
            return 30
        extra = self.slowed.get(source.name, 0) + self.slowed.get(target.name, 0)
        return extra + int(self._way_us(a=source, b=target) * (0.95 + self.rand.random() * 0.15))

    def _way_us(self, *, a: Machine, b: Machine) -> int:
        base_us = self.client_us if "clients" in (a.name[:7], b.name[:7]) else 0
        if a.zone == b.zone or not a.zone or not b.zone:
            return max(base_us, 200)
        is_near = self.regions.get(a.zone) == self.regions.get(b.zone)
        return base_us + (self.zone_us if is_near else self.region_us)

    def carry(
        self, *, source: Machine, target: Machine, callback: Callable[[], None], order: "Order"
    ) -> None:
        """Bring something across, in order; what meets a cut waits until it heals."""
        if not self.is_open(source=source, target=target):
            self.waits.append(
                lambda: self.carry(source=source, target=target, callback=callback, order=order)
            )
            return
        delay_us = self.delay_us(source=source, target=target)
        order.free_us = max(order.free_us + 1, self.now_us() + delay_us)
        self.at(us=order.free_us, callback=callback)


@dataclass(kw_only=True)
class Order:
    """When the next thing may arrive, in one direction of a connection."""

    free_us: int = 0


class HttpProcess(SimProcess):
    """A process whose connections end with it."""

    def __init__(self, **fields: Any) -> None:
        super().__init__(**fields)
        self.served: dict[int, "HttpLine"] = {}
        self.on_own_end: Callable[[BaseException], None] = lambda error: None
        self.message_us = 0  # of the processor's time, for whatever comes in
        self._free_us = 0
        self.ports.net = PlatformNet(process=self)
        self.ports.on_critical_failure = lambda error: self.on_own_end(error)

    def deliver(self, callback: Callable[[], None]) -> None:
        """Something comes in; it is taken when what came before has had its time."""
        if not self.message_us or not self.is_alive:
            super().deliver(callback)
            return
        world = self.world
        self._free_us = max(self._free_us, world.now_us()) + self.message_us
        world.at(us=self._free_us, callback=lambda: super(HttpProcess, self).deliver(callback))

    def _ended(self, task: asyncio.Future) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None and self.is_alive:
            self.on_own_end(task.exception())

    def kill(self, *, is_power: bool = False) -> None:
        """End the process and its connections, served and opened.

        A served connection is reset in the middle of an exchange, and closed otherwise.
        """
        if not self.is_alive:
            return
        super().kill(is_power=is_power)
        for line in list(self.served.values()):
            line.server_ends(how=RESET if line.call is not None else CLOSED)
        self.ports.net.drop_all()


class HttpLine:
    """One connection of a caller to a listener; one exchange at a time."""

    def __init__(self, *, net: "PlatformNet", address: str, listener: Listener) -> None:
        world = net.process.world
        world.serial += 1
        self.serial = world.serial
        self.world = world
        self.net = net
        self.address = address
        self.listener = listener
        self.is_open = True  # as the caller knows
        self.is_served = True  # as the server knows
        self.is_rejected = False
        self.use_until_us = 0
        self.read_us = 0
        self.call: HttpCall | None = None
        self.sent_us = 0
        self.pool: _Pool | None = None
        self.is_fit = True
        self.requests = 0
        self.on_unasked: Callable[[HttpReply], None] | None = None
        self._future: asyncio.Future | None = None
        self._asked: HttpCall | None = None
        self._task: asyncio.Future | None = None  # the handler of the request in work
        self._out, self._back = Order(), Order()
        listener.process.served[self.serial] = self

    @property
    def caller(self) -> Machine:
        """The machine that opened the connection."""
        return self.net.process.machine

    @property
    def server(self) -> Machine:
        """The machine that accepted the connection."""
        return self.listener.process.machine

    # --- the caller's side ---------------------------------------------------------------

    def is_usable(self) -> bool:
        """May the caller begin another exchange on this connection now?"""
        return self.is_open and self.world.now_us() < self.use_until_us

    async def exchange(self, *, call: HttpCall, deadline_us: int) -> HttpReply | KelpstageError:
        """Send a request, wait for its reply; timeout or cancellation closes the connection."""
        self._future = asyncio.get_running_loop().create_future()
        self._asked = call
        self.read_us = 0
        self.requests += 1
        self.sent_us = self.world.now_us()
        taken = _taken_in(call=call, address=self.address)
        self.world.carry(
            source=self.caller,
            target=self.server,
            callback=lambda: self._reach(call=taken),
            order=self._out,
        )
        clock = self.net.process.ports.clock
        try:
            outcome = await clock.within(self._future, us=deadline_us - self.world.now_us())
        except asyncio.CancelledError:
            self.close()
            raise
        self._future = self._asked = None
        if outcome is None:
            self.close()
            return ReplyTimeoutError(address=self.address, after_us=call.wait_us)
        if isinstance(outcome, KelpstageError):
            self.close()
        return outcome

    def close(self) -> None:
        """The caller ends the connection."""
        if not self.is_open:
            return
        self.is_open = False
        if self.pool is not None:
            self.pool.forget(line=self)
        self.world.carry(
            source=self.caller,
            target=self.server,
            callback=lambda: self.listener.process.deliver(self._caller_gone),
            order=self._out,
        )

    def _caller_gone(self) -> None:
        if not self.is_served:
            return
        self.is_served = False
        self.listener.process.served.pop(self.serial, None)
        if self.listener.cancels_on_disconnect and self._task is not None:
            self._task.cancel()
        gone = getattr(self.listener.on_event, "line_gone", None)
        if gone is not None:
            gone(line=self)

    def take(self, *, pieces: list[tuple[str, HttpReply | None]]) -> None:
        """What the server sent reaches the caller."""
        self.net.process.deliver(lambda: self._take(pieces=pieces))

    def _take(self, *, pieces: list[tuple[str, HttpReply | None]]) -> None:
        if not self.is_open:
            return
        for place, (how, reply) in enumerate(pieces):
            if self._future is None or self._future.done():
                if how == WHOLE and self.on_unasked is not None:
                    self.on_unasked(reply)
                self.close()  # bytes, or an end, that belong to no request
                return
            if how != WHOLE:
                self._future.set_result(ConnectionLostError(address=self.address, why=how))
                return
            owner_of = self._asked.reply_owner
            owner = Owner.OURS if owner_of is None else owner_of(reply)
            if owner != Owner.OURS:
                self.is_fit = False
            if owner == Owner.OTHERS:
                continue
            is_alone = place == len(pieces) - 1
            self._keep(reply=reply, is_alone=is_alone)
            self._future.set_result(reply)
            if not is_alone:
                return

    def _keep(self, *, reply: HttpReply, is_alone: bool) -> None:
        kept = reply.headers.get("keep-alive", "")
        seconds = kept.partition("timeout=")[2].partition(",")[0]
        span_us = max(0, int(seconds) * 1_000_000 - 1_000_000) if seconds.isdigit() else IDLE_US
        self.use_until_us = self.world.now_us() + span_us
        if not is_alone or reply.headers.get("connection", "").lower() == "close":
            self.is_fit = False

    # --- the server's side -----------------------------------------------------------------

    def _reach(self, *, call: HttpCall) -> None:
        process = self.listener.process
        if not self.is_served or not process.is_alive:
            self._answer_later(pieces=[(RESET, None)])
            return
        process.deliver(lambda: self._read(call=call))

    def _read(self, *, call: HttpCall) -> None:
        if not self.is_served:
            return
        self.call = call
        self.read_us = self.world.now_us()
        handler = getattr(self.listener.on_event, "take", None)
        if handler is not None:
            handler(line=self, call=call)
            return
        self._task = self.listener.process.spawn(self._serve(call=call))

    async def _serve(self, *, call: HttpCall) -> None:
        reply = await self.listener.on_event(call)
        if reply is None:
            self.server_ends(how=CLOSED)
            return
        self.reply(pieces=[(WHOLE, _sent_out(reply=reply))])
        if reply.headers.get("Connection", "").lower() == "close":
            self.server_ends(how=CLOSED)

    def reply(self, *, pieces: list[tuple[str, HttpReply | None]]) -> None:
        """The server answers on this connection."""
        self.call = None
        if self.is_served:
            self._answer_later(pieces=pieces)

    def _answer_later(self, *, pieces: list[tuple[str, HttpReply | None]]) -> None:
        self.world.carry(
            source=self.server,
            target=self.caller,
            callback=lambda: self.take(pieces=pieces),
            order=self._back,
        )

    def server_ends(self, *, how: str) -> None:
        """The server's side of the connection ends."""
        if not self.is_served:
            return
        self.is_served = False
        self.listener.process.served.pop(self.serial, None)
        gone = getattr(self.listener.on_event, "line_gone", None)
        if gone is not None:
            gone(line=self)
        self._answer_later(pieces=[(how, None)])


def _taken_in(*, call: HttpCall, address: str) -> HttpCall:
    target = "/" + call.url.removeprefix("http://").partition("/")[2]
    headers = {name.lower(): value for name, value in call.headers.items()}
    headers.setdefault("host", address)
    return HttpCall(
        method=call.method,
        url=target,
        headers=headers,
        body=call.body,
        raw_headers=(
            ("Host", headers["host"]),
            *((n, v) for n, v in call.headers.items() if n.lower() != "host"),
        ),
    )


def _sent_out(*, reply: HttpReply) -> HttpReply:
    headers = {name.lower(): value for name, value in reply.headers.items()}
    return HttpReply(status=reply.status, headers=headers, body=reply.body)


class _Pool:
    """A caller's kept connections to one address."""

    def __init__(self) -> None:
        self.idle: list[HttpLine] = []
        self.count = 0
        self.waiting: deque[asyncio.Future] = deque()

    def fresh(self) -> HttpLine | None:
        while self.idle:
            line = self.idle.pop()
            if line.is_usable():
                return line
            line.close()
        return None

    def release(self, *, line: HttpLine) -> None:
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(line)
                return
        self.idle.append(line)

    def forget(self, *, line: HttpLine) -> None:
        if line in self.idle:
            self.idle.remove(line)
        line.pool = None
        self.give_up_place()

    def give_up_place(self) -> None:
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.count -= 1


class PlatformNet(SimNet):
    """A process's network: HTTP over pooled connections or new ones."""

    def __init__(self, *, process: SimProcess) -> None:
        super().__init__(process=process)
        self.process = process
        self._pools: dict[str, _Pool] = {}
        self.opened = 0

    async def serve_http(
        self,
        *,
        address: str,
        on_call: Any,
        body_limit: int,
        limits: Callable[[], HttpLimits] | None = None,
        cancels_on_disconnect: bool = False,
    ) -> Any:
        """Listen for HTTP at an address; `body_limit` and `limits` are not modelled.

        Closing the listener closes its idle connections; busy ones finish their exchange.
        """
        outcome = self._listen(key=f"http/{address}", kind="http", on_event=on_call)
        if isinstance(outcome, KelpstageError):
            return outcome
        listener = self.process.world.listeners[f"http/{address}"]
        listener.cancels_on_disconnect = cancels_on_disconnect

        def close() -> None:
            outcome.close()
            for line in list(self.process.served.values()):
                if line.listener is listener and line.call is None:
                    line.server_ends(how=CLOSED)  # idle ones end, busy ones are finished

        return _Closer(close=close)

    async def open_line(self, *, address: str, deadline_us: int) -> HttpLine | KelpstageError:
        """A new connection; a way that is cut or a machine without power hangs."""
        world, clock, here = self.process.world, self.process.ports.clock, self.process.machine
        started_us = world.now_us()
        there = world.machine_at(address=address)
        while there is None or not world.is_round_open(a=here, b=there):
            left_us = deadline_us - world.now_us()
            if left_us <= 0:
                return ReplyTimeoutError(
                    address=address, after_us=world.now_us() - started_us, was_sent=False
                )
            await clock.sleep(us=min(left_us, SYN_AGAIN_US))
            there = world.machine_at(address=address)
        trip_us = 2 * world.delay_us(source=here, target=there)
        left_us = deadline_us - world.now_us()
        await clock.sleep(us=min(trip_us, max(0, left_us)))
        if trip_us > left_us:
            return ReplyTimeoutError(address=address, after_us=trip_us, was_sent=False)
        listener = world.listeners.get(f"http/{address}")
        if listener is None or not listener.process.is_alive:
            world.known_gone.setdefault(address, world.now_us())
            return ConnectError(address=address)
        self.opened += 1
        line = HttpLine(net=self, address=address, listener=listener)
        accept = getattr(listener.on_event, "accept", None)
        if accept is not None and not accept(line=line):
            line.server_ends(how=RESET)
        return line

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """Send a request within `wait_us`, on a pooled connection if the call allows any.

        A connection returns to its pool only if it is open and fit for another exchange.
        """
        deadline_us = self.process.world.now_us() + call.wait_us
        address = call.url.removeprefix("http://").partition("/")[0]
        if call.connection_limit <= 0:
            line = await self.open_line(address=address, deadline_us=deadline_us)
            if isinstance(line, KelpstageError):
                return line
            outcome = await line.exchange(call=call, deadline_us=deadline_us)
            line.close()
            return outcome
        line = await self._kept(call=call, address=address, deadline_us=deadline_us)
        if isinstance(line, KelpstageError):
            return line
        outcome = await line.exchange(call=call, deadline_us=deadline_us)
        if line.is_open:
            if line.is_fit and line.is_usable() and line.pool is not None:
                line.pool.release(line=line)
            else:
                line.close()
        return outcome

    async def _kept(self, *, call: HttpCall, address: str, deadline_us: int) -> Any:
        pool = self._pools.setdefault(address, _Pool())
        line = pool.fresh()
        if line is not None:
            return line
        if pool.count < call.connection_limit:
            pool.count += 1
        else:
            found = await self._wait(pool=pool, call=call, address=address, deadline_us=deadline_us)
            if found is not None:
                return found
        try:
            line = await self.open_line(address=address, deadline_us=deadline_us)
        except BaseException:
            pool.give_up_place()
            raise
        if isinstance(line, KelpstageError):
            pool.give_up_place()
            return line
        line.pool = pool
        return line

    async def _wait(self, *, pool: _Pool, call: HttpCall, address: str, deadline_us: int) -> Any:
        future = asyncio.get_running_loop().create_future()
        pool.waiting.append(future)
        left_us = deadline_us - self.process.world.now_us()
        await asyncio.wait({future}, timeout=max(0, left_us) / 1_000_000)
        if not future.done():
            future.cancel()
            return ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
        line = future.result()
        if line is not None and not line.is_usable():
            line.pool = None
            line.close()
            return None
        return line

    def drop_all(self) -> None:
        """The process is gone: the other sides see its connections end."""
        for pool in list(self._pools.values()):
            for line in list(pool.idle):
                line.close()
        self._pools.clear()
