"""Backends as the users' page describes them: lives with slots, a queue, pauses, faults."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.platform_model.history import Arrival, History, Leaver, Stamped
from kelpstage.testbed.platform_model.net import (
    CUT_OFF,
    GARBAGE,
    RESET,
    WHOLE,
    HttpLine,
    HttpProcess,
    PlatformWorld,
)
from kelpstage.testbed.platform_model.shape import KindShape, ServiceShape

ATTEMPT, DEADLINE, EXPECT = "x-attempt-id", "x-deadline-ms", "x-expect-instance"
QUEUE = 6
LINE_IDLE_US = 12_000_000
COLD_US = 3_000_000
CLOSE_SHARE = 0.005
CRASH_LISTED_US = 4_000_000
AFTER_DRAIN_US = 1_500_000


@dataclass(kw_only=True)
class Mood:
    """The present faults of a backend: how much slower it works, and shares of bad requests."""

    slow: float = 1.0
    fail_share: float = 0.0
    false_health: str = ""
    reset_share: float = 0.0
    bad_share: float = 0.0  # garbled, cut off, doubled or late answers
    forgets_idle: bool = False


@dataclass(kw_only=True)
class Work:
    """One request that a backend has taken."""

    line: HttpLine
    call: HttpCall
    arrival: Arrival
    due_us: int
    is_dropped: bool = False


@dataclass(kw_only=True)
class Backend:
    """One instance of a backend, from its start to its end, with its queue and slots."""

    instance_id: str
    service: ServiceShape
    zone: str
    address: str
    process: HttpProcess
    park: "Park"
    speed: float
    born_us: int
    mood: Mood = field(default_factory=Mood)
    is_draining: bool = False
    is_ended: bool = False
    lines: set[int] = field(default_factory=set)
    busy: list[Work] = field(default_factory=list)
    queue: deque[Work] = field(default_factory=deque)
    pause_at_us: int = 0

    # --- connections ------------------------------------------------------------------------

    def accept(self, *, line: HttpLine) -> bool:
        """Connections beyond `MaxConns`, from all callers, are reset."""
        if len(self.lines) >= self.service.max_connections:
            self.park.counts["lines_over"] += 1
            return False
        self.lines.add(line.serial)
        self.park.counts["lines"] += 1
        self._look_later(line=line)
        return True

    def _look_later(self, *, line: HttpLine) -> None:
        idle_us = 600_000 if self.mood.forgets_idle else LINE_IDLE_US
        seen = line.requests

        def look() -> None:
            if not line.is_served:
                return
            if line.requests == seen and line.call is None:
                if self.mood.forgets_idle:
                    line.is_served = False  # dropped without a FIN or RST
                    self.line_gone(line=line)
                else:
                    line.server_ends(how="closed")
                return
            self._look_later(line=line)

        self.park.world.at(us=self.park.world.now_us() + idle_us, callback=look)

    def line_gone(self, *, line: HttpLine) -> None:
        """A connection is gone: what it waited for is dropped, most of the time."""
        self.lines.discard(line.serial)
        for work in [*self.busy, *self.queue]:
            if work.line is line:
                work.arrival.released_us = self.park.world.now_us()
                work.is_dropped = self.park.rand.random() < 0.8

    # --- requests -----------------------------------------------------------------------------

    def take(self, *, line: HttpLine, call: HttpCall) -> None:
        """A request has come whole."""
        if call.url.partition("?")[0] == "/health":
            self._health(line=line)
            return
        arrival = Arrival(
            attempt=call.headers.get(ATTEMPT, ""),
            service=self.service.name,
            instance_id=self.instance_id,
            node=line.caller.name,
            at_us=self.park.world.now_us(),
            host=call.headers.get("host", ""),
            method=call.method,
            target=call.url,
            body=call.body,
            ran=False,
            given_us=int(float(call.headers.get(DEADLINE, "0")) * 1_000),
        )
        self.park.history.arrivals.append(arrival)
        self.park.note_headers(call=call, arrival=arrival)
        expected = call.headers.get(EXPECT)
        if expected and expected != self.instance_id:
            self._turn_away(line=line, arrival=arrival, status=421)
            return
        if not arrival.attempt:
            self._turn_away(line=line, arrival=arrival, status=400)
            return
        if len(self.busy) >= self.service.slots and len(self.queue) >= QUEUE:
            self._turn_away(line=line, arrival=arrival, status=503)
            return
        wait_us = arrival.given_us or 60_000_000
        work = Work(
            line=line, call=call, arrival=arrival, due_us=self.park.world.now_us() + wait_us
        )
        self.queue.append(work)
        self._next()

    def _health(self, *, line: HttpLine) -> None:
        self.park.counts["probes"] += 1
        is_well = not self.is_draining
        if self.mood.false_health:
            is_well = self.mood.false_health == "good"
        if len(self.queue) >= QUEUE:
            is_well = False
        self._send(
            line=line,
            status=200 if is_well else 503,
            headers={"x-instance-id": self.instance_id},
            body=b"",
        )

    def _turn_away(self, *, line: HttpLine, arrival: Arrival, status: int) -> None:
        arrival.status = status
        self.park.counts[f"turned_away_{status}"] += 1
        self._send(
            line=line,
            status=status,
            body=b"",
            headers={ATTEMPT: arrival.attempt, "x-not-run": "1"},
        )

    def _next(self) -> None:
        while self.queue and len(self.busy) < self.service.slots:
            work = self.queue.popleft()
            if work.is_dropped:
                continue
            if self.park.world.now_us() >= work.due_us:
                self._turn_away(line=work.line, arrival=work.arrival, status=503)
                continue
            self._begin(work=work)

    def _begin(self, *, work: Work) -> None:
        now_us = self.park.world.now_us()
        work.arrival.ran, work.arrival.begun_us = True, now_us
        self.busy.append(work)
        end_us = min(now_us + self._work_us(work=work), max(now_us, work.due_us))
        end_us = self._past_pause(begin_us=now_us, end_us=end_us)
        work.arrival.until_us = end_us
        self.park.world.at(
            us=end_us, callback=lambda: self.process.deliver(lambda: self._finish(work=work))
        )

    def _work_us(self, *, work: Work) -> int:
        rand, kind = self.park.rand, self.park.kind_of(host=work.arrival.host, target=work.call.url)
        work_us = (kind.work_us if kind else 20_000) * self.speed * self.mood.slow
        work_us *= 0.7 + 0.6 * rand.random()
        if self.park.world.now_us() < self.born_us + COLD_US:
            work_us *= 2.5
        if len(self.busy) >= self.service.slots:
            work_us *= 1.25
        return int(work_us)

    def _past_pause(self, *, begin_us: int, end_us: int) -> int:
        pause_us, each_us = self.service.pause_us, self.service.pause_each_us
        if not pause_us:
            return end_us
        offset_us = (begin_us - self.pause_at_us) % each_us
        if offset_us < pause_us:
            return end_us + pause_us - offset_us
        return end_us + pause_us if offset_us + end_us - begin_us > each_us else end_us

    def _finish(self, *, work: Work) -> None:
        now_us = self.park.world.now_us()
        arrival, rand = work.arrival, self.park.rand
        if work in self.busy:
            self.busy.remove(work)
        arrival.ended_us = now_us
        if work.is_dropped or not work.line.is_served:
            self._next()
            return
        status = 504 if now_us >= work.due_us else 200
        if rand.random() < self.mood.fail_share:
            status = 500
        arrival.status = status
        if rand.random() < self.mood.reset_share:
            arrival.broke_off = True
            work.line.server_ends(how=RESET)
            self._next()
            return
        self._answer(work=work, status=status)
        self._next()

    def _answer(self, *, work: Work, status: int) -> None:
        rand, arrival = self.park.rand, work.arrival
        kind = self.park.kind_of(host=arrival.host, target=work.call.url)
        body = self.park.body_of(kind=kind) if status == 200 else b"failed"
        seal = self.park.seal(arrival=arrival, status=status, body=body)
        headers = {ATTEMPT: arrival.attempt, "x-answer-seal": seal}
        if rand.random() < self.mood.bad_share:
            self._answer_badly(work=work, headers=headers, status=status, body=body)
            return
        self._send(line=work.line, status=status, headers=headers, body=body)

    def _answer_badly(self, *, work: Work, headers: dict, status: int, body: bytes) -> None:
        way = self.park.rand.choice(("cut", "garbage", "extra", "late", "encoded", "silent"))
        self.park.counts[f"bad_{way}"] += 1
        other = HttpReply(
            status=200,
            body=b"z" * 32,
            headers={
                ATTEMPT: f"old-{self.instance_id}",
                "x-answer-seal": f"old.{self.instance_id}",
            },
        )
        if way in ("cut", "garbage", "silent"):
            work.arrival.broke_off = True
        if way == "cut":
            work.line.reply(pieces=[(CUT_OFF, None)])
            work.line.server_ends(how=RESET)
        if way == "garbage":
            work.line.reply(pieces=[(GARBAGE, None)])
            work.line.server_ends(how=RESET)
        if way == "extra":
            whole = HttpReply(status=status, headers=headers, body=body)
            work.line.reply(pieces=[(WHOLE, whole), (WHOLE, other)])
        if way == "late":
            self._send(line=work.line, status=status, headers=headers, body=body)
            late_us = int(2_000 + self.park.rand.random() * 60_000)
            line = work.line
            self.park.world.at(
                us=self.park.world.now_us() + late_us,
                callback=lambda: line.is_served and line._answer_later(pieces=[(WHOLE, other)]),
            )
        if way == "encoded":
            work.line.reply(
                pieces=[
                    (
                        WHOLE,
                        HttpReply(
                            status=status,
                            headers={**headers, "content-encoding": "gzip"},
                            body=body[:-1],
                        ),
                    )
                ]
            )

    def _send(self, *, line: HttpLine, status: int, headers: dict, body: bytes) -> None:
        is_last = self.is_draining or self.park.rand.random() < CLOSE_SHARE
        headers = {**headers, "keep-alive": f"timeout={LINE_IDLE_US // 1_000_000}"}
        if is_last:
            headers["connection"] = "close"
        line.reply(pieces=[(WHOLE, HttpReply(status=status, headers=headers, body=body))])
        if is_last:
            line.server_ends(how="closed")


class Park:
    """All backends of a scenario, and the platform's list of them."""

    def __init__(
        self,
        *,
        world: PlatformWorld,
        history: History,
        rand: Any,
        kind_of: Any,
        lag_us: int,
        drain_us: int,
        reuse_us: int,
        make_process: Any,
        zones: list[str],
    ) -> None:
        from collections import Counter

        self.world = world
        self.history = history
        self.rand = rand
        self.kind_of = kind_of
        self.counts: Counter = Counter()
        self.live: dict[str, Backend] = {}
        self.zones = zones
        self.wrong_headers: list[str] = []
        self._lag_us = lag_us
        self._drain_us = drain_us
        self._reuse_us = reuse_us
        self._make_process = make_process
        self._serial = 0
        self._seals = 0
        self._free: list[tuple[int, str]] = []
        self._rows: dict[str, dict] = {}
        self.revision = "v1"

    # --- lives -----------------------------------------------------------------------------

    def start(self, *, service: ServiceShape, zone: str, is_cold: bool = True) -> Backend:
        """Start an instance, at a new address or at one that is free for reuse."""
        self._serial += 1
        now_us = self.world.now_us()
        instance_id = f"i-{self._serial:05x}{self.rand.getrandbits(20):05x}"
        process = self._make_process(name=f"backend/{instance_id}", machine=instance_id, zone=zone)
        address = self._address(process=process)
        backend = Backend(
            instance_id=instance_id,
            service=service,
            zone=zone,
            address=address,
            process=process,
            park=self,
            speed=self.rand.choice((0.8, 1.0, 1.0, 1.3)),
            born_us=now_us if is_cold else now_us - COLD_US,
            pause_at_us=self.rand.randrange(service.pause_each_us),
        )
        process._process_listener = process.ports.net._listen(
            key=f"http/{address}", kind="http", on_event=backend
        )
        self.live[instance_id] = backend
        self._list(backend=backend, change={"Condition": "ready"})
        return backend

    def _address(self, *, process: HttpProcess) -> str:
        now_us = self.world.now_us()
        for place, (free_us, address) in enumerate(self._free):
            if free_us <= now_us and self.rand.random() < 0.7:
                del self._free[place]
                self.world.homes[address] = process.machine
                self.world.known_gone.pop(address, None)
                return address
        address = f"10.128.{self._serial // 200}.{self._serial % 200 + 1}:8080"
        self.world.homes[address] = process.machine
        return address

    def crash(self, *, backend: Backend) -> None:
        """It ends at once; the list keeps it for some seconds."""
        if not backend.is_ended:
            self.history.crashes[backend.instance_id] = self.world.now_us()
        self._end(backend=backend)
        self.world.at(
            us=self.world.now_us() + CRASH_LISTED_US, callback=lambda: self._unlist(backend=backend)
        )

    def go_silent(self, *, backend: Backend) -> None:
        """It says nothing any more, and takes everything."""
        backend.process.freeze()

    def wake(self, *, backend: Backend) -> None:
        """Resume a backend that `go_silent` suspended."""
        backend.process.thaw()

    def drain(self, *, backend: Backend) -> None:
        """It leaves in order: listed as draining, served on, then ended."""
        if backend.is_draining or backend.is_ended:
            return
        backend.is_draining = True
        self._list(backend=backend, change={"Condition": "draining"})
        end_us = self.world.now_us() + self._lag_us + self._drain_us + AFTER_DRAIN_US
        leaver = Leaver(
            instance_id=backend.instance_id, listed_us=self.world.now_us() + self._lag_us
        )
        self.history.leavers.append(leaver)

        def end() -> None:
            leaver.ended_us = self.world.now_us()
            self._end(backend=backend)
            self._unlist(backend=backend)

        self.world.at(us=end_us, callback=end)

    def _end(self, *, backend: Backend) -> None:
        if backend.is_ended:
            return
        backend.is_ended = True
        for work in backend.busy:
            work.arrival.broke_off = True
        backend.process.kill()
        self.live.pop(backend.instance_id, None)
        self._free.append((self.world.now_us() + self._reuse_us, backend.address))

    def of(self, *, service: str) -> list[Backend]:
        """The backends of a service that have neither ended nor begun to drain."""
        return [b for b in self.live.values() if b.service.name == service and not b.is_draining]

    # --- the list -----------------------------------------------------------------------------

    def _list(self, *, backend: Backend, change: dict) -> None:
        row = {
            "Service": backend.service.name,
            "Address": backend.address,
            "ZoneName": backend.zone,
            "Revision": self.revision,
            "Capacity": backend.service.slots,
            "InstanceId": backend.instance_id,
            "cold_until_us": backend.born_us + COLD_US,
            **change,
        }
        lag_us = int(self.rand.random() * self._lag_us) if self.world.now_us() else 0
        self.world.at(
            us=self.world.now_us() + lag_us,
            callback=lambda: self._rows.__setitem__(backend.instance_id, row),
        )

    def _unlist(self, *, backend: Backend) -> None:
        lag_us = int(self.rand.random() * self._lag_us)
        self.world.at(
            us=self.world.now_us() + lag_us,
            callback=lambda: self._rows.pop(backend.instance_id, None),
        )

    def rows(self) -> list[dict]:
        """The list as it shows itself now."""
        now_us = self.world.now_us()
        out = []
        for row in self._rows.values():
            left_ms = max(0, row["cold_until_us"] - now_us) // 1_000
            out.append(
                {k: v for k, v in row.items() if k != "cold_until_us"} | {"ColdLeftMs": left_ms}
            )
        return out

    # --- answers ------------------------------------------------------------------------------

    def body_of(self, *, kind: KindShape | None) -> bytes:
        """Records in no order, now and then with bytes that are no record behind them."""
        if kind is None or not kind.records:
            return self.rand.randbytes(300)
        body = self.rand.randbytes(16 * kind.records)
        if self.rand.random() < 0.1:
            body += body[:16]  # equal records count each
        return body + self.rand.randbytes(5) if self.rand.random() < 0.1 else body

    def seal(self, *, arrival: Arrival, status: int, body: bytes) -> str:
        """Register a reply in the history and return the unique seal that identifies it.

        Backends send the seal along; the rules trace a client's reply back by it.
        """
        self._seals += 1
        seal = f"{self._seals:x}.{status:x}.{self.rand.getrandbits(32):08x}"
        self.history.stamped[seal] = Stamped(
            seal=seal,
            attempt=arrival.attempt,
            service=arrival.service,
            instance_id=arrival.instance_id,
            status=status,
            body=body,
        )
        return seal

    def note_headers(self, *, call: HttpCall, arrival: Arrival) -> None:
        """The client's other headers are to go along."""
        if call.headers.get("x-client-word") != f"w-{arrival.attempt}":
            self.wrong_headers.append(arrival.attempt)
