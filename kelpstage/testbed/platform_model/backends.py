"""The platform's backends: instances with slots, a queue, regular pauses and injected faults."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.platform_model.history import Arrival, History, Leaver, Stamped
from kelpstage.testbed.platform_model.net import (
    COMPLETE,
    CUT_OFF,
    GARBAGE,
    RESET,
    HttpLine,
    HttpProcess,
    PlatformWorld,
)
from kelpstage.testbed.platform_model.shape import KindShape, ServiceShape

ATTEMPT_HEADER, DEADLINE_HEADER, EXPECT_INSTANCE_HEADER = (
    "x-attempt-id",
    "x-deadline-ms",
    "x-expect-instance",
)
QUEUE_LIMIT = 6
IDLE_TIMEOUT_US = 12_000_000
SLOW_START_US = 3_000_000
CLOSE_PROBABILITY = 0.005
CRASH_DELIST_DELAY_US = 4_000_000
DRAIN_MARGIN_US = 1_500_000
FIRST_REVISION = "v1"  # the software version of a service without a rollout


@dataclass(kw_only=True)
class InjectedFaults:
    """The faults that are injected into a backend: a slowdown factor and shares of requests."""

    slow: float = 1.0
    fail_share: float = 0.0
    false_health: str = ""
    reset_share: float = 0.0
    bad_share: float = 0.0  # invalid, truncated, duplicate, late or missing replies
    forgets_idle: bool = False


@dataclass(frozen=True, kw_only=True)
class VersionFault:
    """A fault of a software version: `share` of the requests fail or are slow.

    It begins `after_us` after the start of an instance. `only_kind` limits it to one kind of
    request, and `is_under_load` to instances with every slot busy. `slow_factor` above 1 makes
    requests slow instead of failing.
    """

    share: float = 0.5
    slow_factor: float = 1.0
    after_us: int = 0
    only_kind: str = ""
    is_under_load: bool = False


@dataclass(kw_only=True)
class BackendRequest:
    """A request that a backend has accepted into its queue."""

    connection: HttpLine
    call: HttpCall
    arrival: Arrival
    due_us: int
    is_dropped: bool = False


@dataclass(kw_only=True)
class Backend:
    """One instance of a backend, with its connections, its queue and its busy slots."""

    instance_id: str
    service: ServiceShape
    zone: str
    address: str
    process: HttpProcess
    backend_pool: "BackendPool"
    work_factor: float
    started_us: int
    revision: str
    version_fault: VersionFault | None = None
    injected_faults: InjectedFaults = field(default_factory=InjectedFaults)
    is_draining: bool = False
    is_ended: bool = False
    connections: set[int] = field(default_factory=set)
    busy: list[BackendRequest] = field(default_factory=list)
    queue: deque[BackendRequest] = field(default_factory=deque)
    pause_offset_us: int = 0

    # --- connections ----------------------------------------------------------------------

    def accept(self, *, connection: HttpLine) -> bool:
        """Accept a connection unless `MaxConns` from all clients are open; false resets it."""
        if len(self.connections) >= self.service.max_connections:
            self.backend_pool.counts["lines_over"] += 1
            return False
        self.connections.add(connection.serial)
        self.backend_pool.counts["lines"] += 1
        self._schedule_idle_check(connection=connection)
        return True

    def _schedule_idle_check(self, *, connection: HttpLine) -> None:
        idle_us = 600_000 if self.injected_faults.forgets_idle else IDLE_TIMEOUT_US
        seen_requests = connection.requests

        def check() -> None:
            if not connection.is_open_at_server:
                return
            if connection.requests == seen_requests and connection.call is None:
                if self.injected_faults.forgets_idle:
                    connection.is_open_at_server = False  # closed without a FIN or RST
                    self.line_gone(connection=connection)
                else:
                    connection.close_from_server(how="closed")
                return
            self._schedule_idle_check(connection=connection)

        self.backend_pool.world.at(us=self.backend_pool.world.now_us() + idle_us, callback=check)

    def line_gone(self, *, connection: HttpLine) -> None:
        """Handle the end of a connection: each of its requests is dropped with probability 0.8."""
        self.connections.discard(connection.serial)
        for request in [*self.busy, *self.queue]:
            if request.connection is connection:
                request.arrival.released_us = self.backend_pool.world.now_us()
                request.is_dropped = self.backend_pool.rand.random() < 0.8

    # --- requests -------------------------------------------------------------------------

    def take(self, *, connection: HttpLine, call: HttpCall) -> None:
        """Handle a complete request: answer a health check, queue the request or reject it."""
        if call.url.partition("?")[0] == "/health":
            self._answer_health_check(connection=connection)
            return
        arrival = Arrival(
            attempt=call.headers.get(ATTEMPT_HEADER, ""),
            service=self.service.name,
            instance_id=self.instance_id,
            node=connection.caller.name,
            at_us=self.backend_pool.world.now_us(),
            host=call.headers.get("host", ""),
            method=call.method,
            target=call.url,
            body=call.body,
            revision=self.revision,
            ran=False,
            given_us=int(float(call.headers.get(DEADLINE_HEADER, "0")) * 1_000),
        )
        self.backend_pool.history.arrivals.append(arrival)
        self.backend_pool.check_headers(call=call, arrival=arrival)
        expected = call.headers.get(EXPECT_INSTANCE_HEADER)
        if expected and expected != self.instance_id:
            self._reject(connection=connection, arrival=arrival, status=421)
            return
        if not arrival.attempt:
            self._reject(connection=connection, arrival=arrival, status=400)
            return
        if len(self.busy) >= self.service.slots and len(self.queue) >= QUEUE_LIMIT:
            self._reject(connection=connection, arrival=arrival, status=503)
            return
        wait_us = arrival.given_us or 60_000_000
        request = BackendRequest(
            connection=connection,
            call=call,
            arrival=arrival,
            due_us=self.backend_pool.world.now_us() + wait_us,
        )
        self.queue.append(request)
        self._start_queued()

    def _answer_health_check(self, *, connection: HttpLine) -> None:
        self.backend_pool.counts["probes"] += 1
        is_healthy = not self.is_draining
        if self.injected_faults.false_health:
            is_healthy = self.injected_faults.false_health == "good"
        if len(self.queue) >= QUEUE_LIMIT:
            is_healthy = False
        self._send(
            connection=connection,
            status=200 if is_healthy else 503,
            headers={"x-instance-id": self.instance_id},
            body=b"",
        )

    def _reject(self, *, connection: HttpLine, arrival: Arrival, status: int) -> None:
        arrival.status = status
        self.backend_pool.counts[f"turned_away_{status}"] += 1
        self._send(
            connection=connection,
            status=status,
            body=b"",
            headers={ATTEMPT_HEADER: arrival.attempt, "x-not-run": "1"},
        )

    def _start_queued(self) -> None:
        while self.queue and len(self.busy) < self.service.slots:
            request = self.queue.popleft()
            if request.is_dropped:
                continue
            if self.backend_pool.world.now_us() >= request.due_us:
                self._reject(connection=request.connection, arrival=request.arrival, status=503)
                continue
            self._start_work(request=request)

    def _start_work(self, *, request: BackendRequest) -> None:
        now_us = self.backend_pool.world.now_us()
        request.arrival.ran, request.arrival.begun_us = True, now_us
        self.busy.append(request)
        request.arrival.is_bad_answer = self._has_version_fault(request=request)
        end_us = min(now_us + self._service_time_us(request=request), max(now_us, request.due_us))
        end_us = self._add_pause(begin_us=now_us, end_us=end_us)
        request.arrival.until_us = end_us
        self.backend_pool.world.at(
            us=end_us, callback=lambda: self.process.deliver(lambda: self._finish(request=request))
        )

    def _service_time_us(self, *, request: BackendRequest) -> int:
        rand, kind = (
            self.backend_pool.rand,
            self.backend_pool.kind_of(host=request.arrival.host, target=request.call.url),
        )
        work_us = (kind.work_us if kind else 20_000) * self.work_factor * self.injected_faults.slow
        work_us *= 0.7 + 0.6 * rand.random()
        if self.backend_pool.world.now_us() < self.started_us + SLOW_START_US:
            work_us *= 2.5
        if len(self.busy) >= self.service.slots:
            work_us *= 1.25
        if request.arrival.is_bad_answer and self.version_fault is not None:
            work_us *= self.version_fault.slow_factor
        return int(work_us)

    def _has_version_fault(self, *, request: BackendRequest) -> bool:
        """True if the fault of this instance's version applies to a request that starts now."""
        fault = self.version_fault
        if fault is None or self.backend_pool.world.now_us() < self.started_us + fault.after_us:
            return False
        if fault.is_under_load and len(self.busy) < self.service.slots:
            return False
        kind = self.backend_pool.kind_of(host=request.arrival.host, target=request.call.url)
        if fault.only_kind and (kind is None or kind.name != fault.only_kind):
            return False
        return self.backend_pool.rand.random() < fault.share

    def _add_pause(self, *, begin_us: int, end_us: int) -> int:
        pause_us, interval_us = self.service.pause_us, self.service.pause_interval_us
        if not pause_us:
            return end_us
        offset_us = (begin_us - self.pause_offset_us) % interval_us
        if offset_us < pause_us:
            return end_us + pause_us - offset_us
        return end_us + pause_us if offset_us + end_us - begin_us > interval_us else end_us

    def _finish(self, *, request: BackendRequest) -> None:
        now_us = self.backend_pool.world.now_us()
        arrival, rand = request.arrival, self.backend_pool.rand
        if request in self.busy:
            self.busy.remove(request)
        arrival.ended_us = now_us
        if request.is_dropped or not request.connection.is_open_at_server:
            self._start_queued()
            return
        status = 504 if now_us >= request.due_us else 200
        if rand.random() < self.injected_faults.fail_share:
            status = 500
        if arrival.is_bad_answer and self.version_fault and self.version_fault.slow_factor == 1:
            status = 500
        arrival.status = status
        if rand.random() < self.injected_faults.reset_share:
            arrival.broke_off = True
            request.connection.close_from_server(how=RESET)
            self._start_queued()
            return
        self._reply(request=request, status=status)
        self._start_queued()

    def _reply(self, *, request: BackendRequest, status: int) -> None:
        rand, arrival = self.backend_pool.rand, request.arrival
        kind = self.backend_pool.kind_of(host=arrival.host, target=request.call.url)
        body = self.backend_pool.make_body(kind=kind) if status == 200 else b"failed"
        seal = self.backend_pool.issue_seal(arrival=arrival, status=status, body=body)
        headers = {ATTEMPT_HEADER: arrival.attempt, "x-answer-seal": seal}
        if rand.random() < self.injected_faults.bad_share:
            self._send_faulty_reply(request=request, headers=headers, status=status, body=body)
            return
        self._send(connection=request.connection, status=status, headers=headers, body=body)

    def _send_faulty_reply(
        self, *, request: BackendRequest, headers: dict, status: int, body: bytes
    ) -> None:
        fault = self.backend_pool.rand.choice(
            ("cut", "garbage", "extra", "late", "encoded", "silent")
        )
        self.backend_pool.counts[f"bad_{fault}"] += 1
        stale_reply = HttpReply(
            status=200,
            body=b"z" * 32,
            headers={
                ATTEMPT_HEADER: f"old-{self.instance_id}",
                "x-answer-seal": f"old.{self.instance_id}",
            },
        )
        if fault in ("cut", "garbage", "silent"):
            request.arrival.broke_off = True
        if fault == "cut":
            request.connection.reply(pieces=[(CUT_OFF, None)])
            request.connection.close_from_server(how=RESET)
        if fault == "garbage":
            request.connection.reply(pieces=[(GARBAGE, None)])
            request.connection.close_from_server(how=RESET)
        if fault == "extra":
            reply = HttpReply(status=status, headers=headers, body=body)
            request.connection.reply(pieces=[(COMPLETE, reply), (COMPLETE, stale_reply)])
        if fault == "late":
            self._send(connection=request.connection, status=status, headers=headers, body=body)
            late_us = int(2_000 + self.backend_pool.rand.random() * 60_000)
            connection = request.connection
            self.backend_pool.world.at(
                us=self.backend_pool.world.now_us() + late_us,
                callback=lambda: (
                    connection.is_open_at_server
                    and connection._send_reply(pieces=[(COMPLETE, stale_reply)])
                ),
            )
        if fault == "encoded":
            request.connection.reply(
                pieces=[
                    (
                        COMPLETE,
                        HttpReply(
                            status=status,
                            headers={**headers, "content-encoding": "gzip"},
                            body=body[:-1],
                        ),
                    )
                ]
            )

    def _send(self, *, connection: HttpLine, status: int, headers: dict, body: bytes) -> None:
        is_last = self.is_draining or self.backend_pool.rand.random() < CLOSE_PROBABILITY
        headers = {**headers, "keep-alive": f"timeout={IDLE_TIMEOUT_US // 1_000_000}"}
        if is_last:
            headers["connection"] = "close"
        connection.reply(pieces=[(COMPLETE, HttpReply(status=status, headers=headers, body=body))])
        if is_last:
            connection.close_from_server(how="closed")


class BackendPool:
    """All backends of a scenario, and the platform's instance list."""

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
        self.headerless_attempts: list[str] = []
        self._lag_us = lag_us
        self._drain_us = drain_us
        self._reuse_us = reuse_us
        self._make_process = make_process
        self._serial = 0
        self._seal_count = 0
        self._free_addresses: list[tuple[int, str]] = []
        self._rows: dict[str, dict] = {}

    # --- instances ------------------------------------------------------------------------

    def start(
        self,
        *,
        service: ServiceShape,
        zone: str,
        is_cold: bool = True,
        revision: str = FIRST_REVISION,
        version_fault: VersionFault | None = None,
    ) -> Backend:
        """Start an instance at a new address, or at the address of an ended instance."""
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
            backend_pool=self,
            work_factor=self.rand.choice((0.8, 1.0, 1.0, 1.3)),
            started_us=now_us if is_cold else now_us - SLOW_START_US,
            revision=revision,
            version_fault=version_fault,
            pause_offset_us=self.rand.randrange(service.pause_interval_us),
        )
        process._process_listener = process.ports.net._listen(
            key=f"http/{address}", kind="http", on_event=backend
        )
        self.live[instance_id] = backend
        self._update_row(backend=backend, change={"Condition": "ready"})
        return backend

    def _address(self, *, process: HttpProcess) -> str:
        now_us = self.world.now_us()
        for index, (free_us, address) in enumerate(self._free_addresses):
            if free_us <= now_us and self.rand.random() < 0.7:
                del self._free_addresses[index]
                self.world.machine_by_address[address] = process.machine
                self.world.gone_since_us.pop(address, None)
                return address
        address = f"10.128.{self._serial // 200}.{self._serial % 200 + 1}:8080"
        self.world.machine_by_address[address] = process.machine
        return address

    def crash(self, *, backend: Backend) -> None:
        """End a backend at once; it stays listed for `CRASH_DELIST_DELAY_US` and the list's lag."""
        if not backend.is_ended:
            self.history.crashes[backend.instance_id] = self.world.now_us()
        self._end(backend=backend)
        self.world.at(
            us=self.world.now_us() + CRASH_DELIST_DELAY_US,
            callback=lambda: self._remove_row(backend=backend),
        )

    def go_silent(self, *, backend: Backend) -> None:
        """Suspend a backend: it still accepts connections and requests but sends nothing."""
        backend.process.freeze()

    def wake(self, *, backend: Backend) -> None:
        """Resume a backend that `go_silent` suspended."""
        backend.process.thaw()

    def stop(self, *, backend: Backend) -> None:
        """End a backend at once, without draining, as after a complete rollout."""
        for request in (*backend.busy, *backend.queue):
            if not request.is_dropped:
                self.history.stopped_requests.append((self.world.now_us(), request.arrival.attempt))
        self._end(backend=backend)
        self._remove_row(backend=backend)

    def drain(self, *, backend: Backend) -> None:
        """Drain a backend: it is listed as draining, keeps serving, then ends."""
        if backend.is_draining or backend.is_ended:
            return
        backend.is_draining = True
        self._update_row(backend=backend, change={"Condition": "draining"})
        end_us = self.world.now_us() + self._lag_us + self._drain_us + DRAIN_MARGIN_US
        leaver = Leaver(
            instance_id=backend.instance_id, listed_us=self.world.now_us() + self._lag_us
        )
        self.history.leavers.append(leaver)

        def end() -> None:
            leaver.ended_us = self.world.now_us()
            self._end(backend=backend)
            self._remove_row(backend=backend)

        self.world.at(us=end_us, callback=end)

    def _end(self, *, backend: Backend) -> None:
        if backend.is_ended:
            return
        backend.is_ended = True
        for request in backend.busy:
            request.arrival.broke_off = True
        backend.process.kill()
        self.live.pop(backend.instance_id, None)
        self._free_addresses.append((self.world.now_us() + self._reuse_us, backend.address))

    def active_instances(self, *, service: str) -> list[Backend]:
        """The backends of a service that have neither ended nor started to drain."""
        return [b for b in self.live.values() if b.service.name == service and not b.is_draining]

    # --- the instance list ----------------------------------------------------------------

    def _update_row(self, *, backend: Backend, change: dict) -> None:
        row = {
            "Service": backend.service.name,
            "Address": backend.address,
            "ZoneName": backend.zone,
            "Revision": backend.revision,
            "Capacity": backend.service.slots,
            "InstanceId": backend.instance_id,
            "cold_until_us": backend.started_us + SLOW_START_US,
            **change,
        }
        lag_us = int(self.rand.random() * self._lag_us) if self.world.now_us() else 0
        self.world.at(
            us=self.world.now_us() + lag_us,
            callback=lambda: self._rows.__setitem__(backend.instance_id, row),
        )

    def _remove_row(self, *, backend: Backend) -> None:
        lag_us = int(self.rand.random() * self._lag_us)
        self.world.at(
            us=self.world.now_us() + lag_us,
            callback=lambda: self._rows.pop(backend.instance_id, None),
        )

    def rows(self) -> list[dict]:
        """The rows that the instance list shows now."""
        now_us = self.world.now_us()
        out = []
        for row in self._rows.values():
            left_ms = max(0, row["cold_until_us"] - now_us) // 1_000
            out.append(
                {k: v for k, v in row.items() if k != "cold_until_us"} | {"ColdLeftMs": left_ms}
            )
        return out

    # --- replies --------------------------------------------------------------------------

    def make_body(self, *, kind: KindShape | None) -> bytes:
        """A reply body for a kind of request.

        A gathered request gets unsorted records. One body in ten repeats its first record,
        and one in ten ends with five bytes that are not a record.
        """
        if kind is None or not kind.records:
            return self.rand.randbytes(300)
        body = self.rand.randbytes(16 * kind.records)
        if self.rand.random() < 0.1:
            body += body[:16]  # equal records are counted separately
        return body + self.rand.randbytes(5) if self.rand.random() < 0.1 else body

    def issue_seal(self, *, arrival: Arrival, status: int, body: bytes) -> str:
        """Register a reply in the history and return the unique seal that identifies it.

        Backends send the seal with the reply; the rules use it to find where a reply came from.
        """
        self._seal_count += 1
        seal = f"{self._seal_count:x}.{status:x}.{self.rand.getrandbits(32):08x}"
        self.history.stamped[seal] = Stamped(
            seal=seal,
            attempt=arrival.attempt,
            service=arrival.service,
            instance_id=arrival.instance_id,
            status=status,
            body=body,
        )
        return seal

    def check_headers(self, *, call: HttpCall, arrival: Arrival) -> None:
        """Record a request that arrived without the additional header that the client had sent."""
        if call.headers.get("x-client-word") != f"w-{arrival.attempt}":
            self.headerless_attempts.append(arrival.attempt)
