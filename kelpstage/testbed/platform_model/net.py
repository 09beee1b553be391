"""The simulated network of the platform: delays, persistent connections and HTTP.

Each connection is modelled (opened, busy, idle, closed by either side, reset), but bytes are
not: a request or a reply arrives complete, truncated, or as invalid data.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply, Owner
from kelpstage.testbed.simulation.world import (
    CloseHandle,
    Listener,
    Machine,
    SimNet,
    SimProcess,
    World,
)

SYN_RETRY_US = 1_000_000
IDLE_TIMEOUT_US = 20_000_000
COMPLETE, CUT_OFF, GARBAGE, CLOSED, RESET = "whole", "cut off", "garbage", "closed", "reset"


@dataclass(kw_only=True)
class PlatformWorld(World):
    """A world with delays between zones, between regions, and between clients and nodes."""

    regions: dict[str, str] = field(default_factory=dict)
    zone_us: int = 1_400
    region_us: int = 8_000
    client_us: int = 1_000
    extra_delay_us: dict[str, int] = field(default_factory=dict)  # machine -> extra one-way delay

    def delay_us(self, *, source: Machine, target: Machine) -> int:
        """The one-way delay in microseconds: by distance, with -5 % to +10 % jitter, plus extra.

        Within one machine it is 30.
        """
        if source is target:
            return 30
        extra = self.extra_delay_us.get(source.name, 0) + self.extra_delay_us.get(target.name, 0)
        return extra + int(
            self._base_delay_us(a=source, b=target) * (0.95 + self.rand.random() * 0.15)
        )

    def _base_delay_us(self, *, a: Machine, b: Machine) -> int:
        base_us = self.client_us if "clients" in (a.name[:7], b.name[:7]) else 0
        if a.zone == b.zone or not a.zone or not b.zone:
            return max(base_us, 200)
        is_same_region = self.regions.get(a.zone) == self.regions.get(b.zone)
        return base_us + (self.zone_us if is_same_region else self.region_us)

    def transmit(
        self, *, source: Machine, target: Machine, callback: Callable[[], None], order: "Order"
    ) -> None:
        """Run a callback at the target, in order; across a partition it waits until that heals."""
        if not self.is_path_open(source=source, target=target):
            self.waiting_messages.append(
                lambda: self.transmit(source=source, target=target, callback=callback, order=order)
            )
            return
        delay_us = self.delay_us(source=source, target=target)
        order.earliest_us = max(order.earliest_us + 1, self.now_us() + delay_us)
        self.at(us=order.earliest_us, callback=callback)


@dataclass(kw_only=True)
class Order:
    """Keeps the order of delivery in one direction of a connection."""

    earliest_us: int = 0


class HttpProcess(SimProcess):
    """A process that closes its connections when it ends."""

    def __init__(self, **fields: Any) -> None:
        super().__init__(**fields)
        self.accepted_connections: dict[int, "HttpLine"] = {}
        self.on_unhandled_error: Callable[[BaseException], None] = lambda error: None
        self.message_us = 0  # processor time for each incoming message
        self._busy_until_us = 0
        self.ports.net = PlatformNet(process=self)
        self.ports.on_critical_failure = lambda error: self.on_unhandled_error(error)

    def deliver(self, callback: Callable[[], None]) -> None:
        """Run a callback for an incoming message after the processor time of earlier messages."""
        if not self.message_us or not self.is_alive:
            super().deliver(callback)
            return
        world = self.world
        self._busy_until_us = max(self._busy_until_us, world.now_us()) + self.message_us
        world.at(
            us=self._busy_until_us, callback=lambda: super(HttpProcess, self).deliver(callback)
        )

    def _on_task_done(self, task: asyncio.Future) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None and self.is_alive:
            self.on_unhandled_error(task.exception())

    def kill(self, *, is_power: bool = False) -> None:
        """End the process and its connections, served and opened.

        A served connection is reset in the middle of an exchange, and closed otherwise.
        """
        if not self.is_alive:
            return
        super().kill(is_power=is_power)
        for connection in list(self.accepted_connections.values()):
            connection.close_from_server(how=RESET if connection.call is not None else CLOSED)
        self.ports.net.close_all()


class HttpLine:
    """One connection from a client process to a listener, with one exchange at a time."""

    def __init__(self, *, net: "PlatformNet", address: str, listener: Listener) -> None:
        world = net.process.world
        world.serial += 1
        self.serial = world.serial
        self.world = world
        self.net = net
        self.address = address
        self.listener = listener
        self.is_open = True  # state at the client
        self.is_open_at_server = True  # state at the server
        self.is_rejected = False
        self.reusable_until_us = 0
        self.read_us = 0
        self.call: HttpCall | None = None
        self.sent_us = 0
        self.pool: _Pool | None = None
        self.allows_reuse = True
        self.requests = 0
        self.on_unsolicited_reply: Callable[[HttpReply], None] | None = None
        self._future: asyncio.Future | None = None
        self._pending_call: HttpCall | None = None
        self._task: asyncio.Future | None = None  # the handler of the current request
        self._request_order, self._reply_order = Order(), Order()
        listener.process.accepted_connections[self.serial] = self

    @property
    def caller(self) -> Machine:
        """The machine that opened the connection."""
        return self.net.process.machine

    @property
    def server(self) -> Machine:
        """The machine that accepted the connection."""
        return self.listener.process.machine

    # --- client side ----------------------------------------------------------------------

    def is_usable(self) -> bool:
        """True if the client may start another exchange on this connection now."""
        return self.is_open and self.world.now_us() < self.reusable_until_us

    async def exchange(self, *, call: HttpCall, deadline_us: int) -> HttpReply | KelpstageError:
        """Send a request, wait for its reply; timeout or cancellation closes the connection."""
        self._future = asyncio.get_running_loop().create_future()
        self._pending_call = call
        self.read_us = 0
        self.requests += 1
        self.sent_us = self.world.now_us()
        received = _received_call(call=call, address=self.address)
        self.world.transmit(
            source=self.caller,
            target=self.server,
            callback=lambda: self._on_request_arrival(call=received),
            order=self._request_order,
        )
        clock = self.net.process.ports.clock
        try:
            outcome = await clock.within(self._future, us=deadline_us - self.world.now_us())
        except asyncio.CancelledError:
            self.close()
            raise
        self._future = self._pending_call = None
        if outcome is None:
            self.close()
            return ReplyTimeoutError(address=self.address, after_us=call.wait_us)
        if isinstance(outcome, KelpstageError):
            self.close()
        return outcome

    def close(self) -> None:
        """Close the connection from the client's side."""
        if not self.is_open:
            return
        self.is_open = False
        if self.pool is not None:
            self.pool.discard(connection=self)
        self.world.transmit(
            source=self.caller,
            target=self.server,
            callback=lambda: self.listener.process.deliver(self._on_caller_close),
            order=self._request_order,
        )

    def _on_caller_close(self) -> None:
        if not self.is_open_at_server:
            return
        self.is_open_at_server = False
        self.listener.process.accepted_connections.pop(self.serial, None)
        if self.listener.cancels_on_disconnect and self._task is not None:
            self._task.cancel()
        on_close = getattr(self.listener.on_event, "line_gone", None)
        if on_close is not None:
            on_close(connection=self)

    def receive(self, *, pieces: list[tuple[str, HttpReply | None]]) -> None:
        """Receive at the client what the server sent."""
        self.net.process.deliver(lambda: self._process_pieces(pieces=pieces))

    def _process_pieces(self, *, pieces: list[tuple[str, HttpReply | None]]) -> None:
        if not self.is_open:
            return
        for index, (how, reply) in enumerate(pieces):
            if self._future is None or self._future.done():
                if how == COMPLETE and self.on_unsolicited_reply is not None:
                    self.on_unsolicited_reply(reply)
                self.close()  # data or an end that belongs to no request
                return
            if how != COMPLETE:
                self._future.set_result(ConnectionLostError(address=self.address, why=how))
                return
            owner_of = self._pending_call.reply_owner
            owner = Owner.OURS if owner_of is None else owner_of(reply)
            if owner != Owner.OURS:
                self.allows_reuse = False
            if owner == Owner.OTHERS:
                continue
            is_only_piece = index == len(pieces) - 1
            self._update_reuse(reply=reply, is_only_piece=is_only_piece)
            self._future.set_result(reply)
            if not is_only_piece:
                return

    def _update_reuse(self, *, reply: HttpReply, is_only_piece: bool) -> None:
        keep_alive = reply.headers.get("keep-alive", "")
        seconds = keep_alive.partition("timeout=")[2].partition(",")[0]
        span_us = (
            max(0, int(seconds) * 1_000_000 - 1_000_000) if seconds.isdigit() else IDLE_TIMEOUT_US
        )
        self.reusable_until_us = self.world.now_us() + span_us
        if not is_only_piece or reply.headers.get("connection", "").lower() == "close":
            self.allows_reuse = False

    # --- server side ----------------------------------------------------------------------

    def _on_request_arrival(self, *, call: HttpCall) -> None:
        process = self.listener.process
        if not self.is_open_at_server or not process.is_alive:
            self._send_reply(pieces=[(RESET, None)])
            return
        process.deliver(lambda: self._start_handler(call=call))

    def _start_handler(self, *, call: HttpCall) -> None:
        if not self.is_open_at_server:
            return
        self.call = call
        self.read_us = self.world.now_us()
        handler = getattr(self.listener.on_event, "take", None)
        if handler is not None:
            handler(connection=self, call=call)
            return
        self._task = self.listener.process.spawn(self._serve(call=call))

    async def _serve(self, *, call: HttpCall) -> None:
        reply = await self.listener.on_event(call)
        if reply is None:
            self.close_from_server(how=CLOSED)
            return
        self.reply(pieces=[(COMPLETE, _sent_reply(reply=reply))])
        if reply.headers.get("Connection", "").lower() == "close":
            self.close_from_server(how=CLOSED)

    def reply(self, *, pieces: list[tuple[str, HttpReply | None]]) -> None:
        """Send a reply from the server on this connection."""
        self.call = None
        if self.is_open_at_server:
            self._send_reply(pieces=pieces)

    def _send_reply(self, *, pieces: list[tuple[str, HttpReply | None]]) -> None:
        self.world.transmit(
            source=self.server,
            target=self.caller,
            callback=lambda: self.receive(pieces=pieces),
            order=self._reply_order,
        )

    def close_from_server(self, *, how: str) -> None:
        """Close or reset the connection from the server's side."""
        if not self.is_open_at_server:
            return
        self.is_open_at_server = False
        self.listener.process.accepted_connections.pop(self.serial, None)
        on_close = getattr(self.listener.on_event, "line_gone", None)
        if on_close is not None:
            on_close(connection=self)
        self._send_reply(pieces=[(how, None)])


def _received_call(*, call: HttpCall, address: str) -> HttpCall:
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


def _sent_reply(*, reply: HttpReply) -> HttpReply:
    headers = {name.lower(): value for name, value in reply.headers.items()}
    return HttpReply(status=reply.status, headers=headers, body=reply.body)


class _Pool:
    """A client's pool of persistent connections to one address."""

    def __init__(self) -> None:
        self.idle: list[HttpLine] = []
        self.count = 0
        self.waiting: deque[asyncio.Future] = deque()

    def acquire_idle(self) -> HttpLine | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return None

    def release(self, *, connection: HttpLine) -> None:
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(connection)
                return
        self.idle.append(connection)

    def discard(self, *, connection: HttpLine) -> None:
        if connection in self.idle:
            self.idle.remove(connection)
        connection.pool = None
        self.release_slot()

    def release_slot(self) -> None:
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.count -= 1


class PlatformNet(SimNet):
    """A process's network interface: HTTP over pooled or new connections."""

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
            for connection in list(self.process.accepted_connections.values()):
                if connection.listener is listener and connection.call is None:
                    connection.close_from_server(how=CLOSED)  # busy ones finish their exchange

        return CloseHandle(close=close)

    async def open_connection(self, *, address: str, deadline_us: int) -> HttpLine | KelpstageError:
        """Open a connection, or return an error after the deadline.

        A SYN to a partitioned, unknown or powered-off machine gets no reply and is repeated.
        """
        world, clock, source = self.process.world, self.process.ports.clock, self.process.machine
        started_us = world.now_us()
        target = world.machine_at(address=address)
        while target is None or not world.is_round_open(a=source, b=target):
            left_us = deadline_us - world.now_us()
            if left_us <= 0:
                return ReplyTimeoutError(
                    address=address, after_us=world.now_us() - started_us, was_sent=False
                )
            await clock.sleep(us=min(left_us, SYN_RETRY_US))
            target = world.machine_at(address=address)
        round_trip_us = 2 * world.delay_us(source=source, target=target)
        left_us = deadline_us - world.now_us()
        await clock.sleep(us=min(round_trip_us, max(0, left_us)))
        if round_trip_us > left_us:
            return ReplyTimeoutError(address=address, after_us=round_trip_us, was_sent=False)
        listener = world.listeners.get(f"http/{address}")
        if listener is None or not listener.process.is_alive:
            world.gone_since_us.setdefault(address, world.now_us())
            return ConnectError(address=address)
        self.opened += 1
        connection = HttpLine(net=self, address=address, listener=listener)
        accept = getattr(listener.on_event, "accept", None)
        if accept is not None and not accept(connection=connection):
            connection.close_from_server(how=RESET)
        return connection

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """Send a request within `wait_us`, on a pooled connection if the call allows any.

        A connection returns to its pool only if it can carry another exchange.
        """
        deadline_us = self.process.world.now_us() + call.wait_us
        address = call.url.removeprefix("http://").partition("/")[0]
        if call.connection_limit <= 0:
            connection = await self.open_connection(address=address, deadline_us=deadline_us)
            if isinstance(connection, KelpstageError):
                return connection
            outcome = await connection.exchange(call=call, deadline_us=deadline_us)
            connection.close()
            return outcome
        connection = await self._pooled_connection(
            call=call, address=address, deadline_us=deadline_us
        )
        if isinstance(connection, KelpstageError):
            return connection
        began_us = self.process.world.now_us()
        outcome = await connection.exchange(call=call, deadline_us=deadline_us)
        if isinstance(outcome, HttpReply):
            outcome = replace(outcome, exchange_us=self.process.world.now_us() - began_us)
        if connection.is_open:
            if connection.allows_reuse and connection.is_usable() and connection.pool is not None:
                connection.pool.release(connection=connection)
            else:
                connection.close()
        return outcome

    async def _pooled_connection(self, *, call: HttpCall, address: str, deadline_us: int) -> Any:
        pool = self._pools.setdefault(address, _Pool())
        connection = pool.acquire_idle()
        if connection is not None:
            return connection
        if pool.count < call.connection_limit:
            pool.count += 1
        else:
            found = await self._wait_for_connection(
                pool=pool, call=call, address=address, deadline_us=deadline_us
            )
            if found is not None:
                return found
        try:
            connection = await self.open_connection(address=address, deadline_us=deadline_us)
        except BaseException:
            pool.release_slot()
            raise
        if isinstance(connection, KelpstageError):
            pool.release_slot()
            return connection
        connection.pool = pool
        return connection

    async def _wait_for_connection(
        self, *, pool: _Pool, call: HttpCall, address: str, deadline_us: int
    ) -> Any:
        future = asyncio.get_running_loop().create_future()
        pool.waiting.append(future)
        left_us = deadline_us - self.process.world.now_us()
        await asyncio.wait({future}, timeout=max(0, left_us) / 1_000_000)
        if not future.done():
            future.cancel()
            return ReplyTimeoutError(address=address, after_us=call.wait_us, was_sent=False)
        connection = future.result()
        if connection is not None and not connection.is_usable():
            connection.pool = None
            connection.close()
            return None
        return connection

    def close_all(self) -> None:
        """Close all pooled connections after the process has ended."""
        for pool in list(self._pools.values()):
            for connection in list(pool.idle):
                connection.close()
        self._pools.clear()
