"""The platform's list, backends, the operator and clients, as the users' pages describe them."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from typing import Any

from stand_ins.deployment import ZONES, Deployment, Machine, Record
from stand_ins.wire import Message, call, json_answer, pack, serve

RECORD_BYTES = 16


@dataclass(kw_only=True)
class Backend:
    """One backend of one service: sound, with an answer of its own for each request.

    `runs` holds the ids of the requests that it has run, in their order.
    """

    record: Record
    service: str
    instance: str
    address: str
    zone: str
    work_s: float = 0.005
    condition: str = "ready"
    runs: list[str] = field(default_factory=list)

    async def open(self) -> None:
        """Start to serve."""
        self._server = await serve(address=self.address, answer=self.answer)

    def row(self) -> dict[str, Any]:
        """Its entry on the platform's list."""
        return {
            "InstanceId": self.instance,
            "Service": self.service,
            "Address": self.address,
            "ZoneName": self.zone,
            "Revision": "v1",
            "Capacity": 2,
            "Condition": self.condition,
            "ColdLeftMs": 0,
        }

    async def answer(self, request: Message) -> bytes | None:
        """Answer one request."""
        if request.target == "/health":
            return pack(first="HTTP/1.1 200 OK", headers={"X-Instance-Id": self.instance})
        attempt = request.headers.get("x-attempt-id", "")
        back = {"X-Attempt-Id": attempt, "X-Instance-Id": self.instance}
        if request.headers.get("x-expect-instance", self.instance) != self.instance:
            return pack(first="HTTP/1.1 421 Misdirected Request", headers=back)
        if not attempt:
            return pack(first="HTTP/1.1 400 Bad Request", headers=back | {"X-Not-Run": "1"})
        self.runs.append(attempt)
        self.record.say(f"backend {self.instance} ({self.service}): runs {attempt}")
        await asyncio.sleep(self.work_s)
        body = random.Random(f"{self.service}/{attempt}").randbytes(10 * RECORD_BYTES)
        seal = f"{self.instance}.{attempt}"
        return pack(first="HTTP/1.1 200 OK", headers=back | {"X-Answer-Seal": seal}, body=body)


class Platform:
    """The platform's list of backends, at the address that the settings name."""

    def __init__(self, *, deployment: Deployment, backends: list[Backend]) -> None:
        self.deployment = deployment
        self.backends = backends

    async def open(self) -> None:
        """Open the backends and the list."""
        for backend in self.backends:
            await backend.open()
        self._server = await serve(address=self.deployment.list_address, answer=self._answer)

    async def _answer(self, request: Message) -> bytes | None:
        rows = [backend.row() for backend in self.backends]
        return json_answer(status=200, value={"InstanceList": rows, "NextToken": None})


def make_backends(*, deployment: Deployment, shards: int = 4) -> list[Backend]:
    """Two backends for each shard, and two for a service of its own."""
    zones = list(ZONES)
    services = [f"shard{number}" for number in range(1, shards + 1)] + ["single1"]
    return [
        Backend(
            record=deployment.record,
            service=service,
            instance=f"i-{service}-{copy}",
            address=f"{deployment.net}.{100 + 2 * place + copy}:{deployment.ports.backend}",
            zone=zones[copy % len(zones)],
        )
        for place, service in enumerate(services)
        for copy in range(2)
    ]


def configuration(*, revision: int, shards: int = 4, **route: Any) -> dict[str, Any]:
    """A configuration with one gathered route and one route to a single service."""
    names = [f"shard{number}" for number in range(1, shards + 1)]
    base = {"HostName": "mide43.example", "Variant": "idempotent", "Rank": 1, "Tries": 2}
    return {
        "Revision": revision,
        "RouteTable": [
            base
            | {
                "Name": "r-all",
                "PathPrefix": "/all/",
                "DeadlineMs": 800,
                "TargetMs": 140,
                "FanOut": names,
                "TopN": 10,
                "Quorum": 1.0,
            },
            base
            | {
                "Name": "r-one",
                "PathPrefix": "/one/",
                "DeadlineMs": 2500,
                "TargetMs": 400,
                "Service": "single1",
            }
            | route,
        ],
        "ServiceTable": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 80,
                "Protocol": "h1",
                "TlsMode": False,
            }
            for name in [*names, "single1"]
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderReadMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


class Operator:
    """Sends orders to the nodes that serve `control_plane`, unchanged until one is taken."""

    def __init__(self, *, deployment: Deployment) -> None:
        self.deployment = deployment
        self.record = deployment.record

    async def replace(self, *, value: dict[str, Any], base: int, until_s: float) -> float | None:
        """Send a configuration until it is acknowledged; when it was, or None if it was not
        by `until_s`, or was refused for good."""
        data = pack(
            first="POST /api/Config.Replace HTTP/1.1",
            headers={
                "Host": "control",
                "X-Base-Version": str(base),
                "Content-Type": "application/json",
                "Connection": "close",
            },
            body=json.dumps(value).encode(),
        )
        pause_s, tries = 0.1, 0
        while self.record.now_s() < until_s:
            machine = self.deployment.cores[tries % len(self.deployment.cores)]
            tries += 1
            reply = await call(address=machine.control, data=data, wait_s=1.0)
            told = reply if isinstance(reply, str) else f"{reply.status} {reply.body[:160]!r}"
            self.record.say(
                f"operator: Config.Replace {value['Revision']} on {base} to {machine.name}: {told}"
            )
            if isinstance(reply, Message) and reply.status == 200:
                return self.record.now_s()
            if isinstance(reply, Message) and reply.status in (400, 409, 412, 413, 422):
                return None
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return None

    async def read(self, *, until_s: float) -> bytes | None:
        """The newest configuration, asked for until it comes; None if it does not."""
        data = pack(
            first="GET /api/Config.Read HTTP/1.1",
            headers={"Host": "control", "Connection": "close"},
        )
        tries = 0
        while self.record.now_s() < until_s:
            machine = self.deployment.cores[tries % len(self.deployment.cores)]
            tries += 1
            reply = await call(address=machine.control, data=data, wait_s=1.0)
            told = reply if isinstance(reply, str) else f"{reply.status} {reply.body[:160]!r}"
            self.record.say(f"operator: Config.Read at {machine.name}: {told}")
            if isinstance(reply, Message) and reply.status == 200:
                return reply.body
            await asyncio.sleep(0.5)
        return None


class Clients:
    """Clients that send a few requests a second, each with an id of its own."""

    def __init__(self, *, deployment: Deployment) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.served = self.sent = 0

    async def ask(self, *, machine: Machine, path: str, wait_ms: int = 800) -> Message | str:
        """Send one request to one edge."""
        self.sent += 1
        attempt = f"{time.monotonic_ns():016x}"
        data = pack(
            first=f"GET {path} HTTP/1.1",
            headers={
                "Host": "mide43.example",
                "X-Attempt-Id": attempt,
                "X-Deadline-Ms": str(wait_ms),
                "Connection": "close",
            },
        )
        reply = await call(address=machine.front, data=data, wait_s=wait_ms / 1000 + 0.2)
        told = reply if isinstance(reply, str) else str(reply.status)
        self.record.say(f"client: GET {path} as {attempt} to {machine.name}: {told}")
        self.served += isinstance(reply, Message) and 200 <= reply.status < 300
        return reply

    async def run(self, *, until_s: float, per_s: float = 5.0) -> None:
        """Ask in turn, until then."""
        number = 0
        while self.record.now_s() < until_s:
            machine = self.deployment.machines[number % len(self.deployment.machines)]
            await self.ask(machine=machine, path="/all/q" if number % 2 else "/one/q")
            number += 1
            await asyncio.sleep(1 / per_s)
