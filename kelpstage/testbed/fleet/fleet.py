"""A whole deployment as processes on loopback, and what may be done to it."""

from __future__ import annotations

import asyncio
import base64
import json
import pathlib
import shutil
import signal
import tempfile
from dataclasses import dataclass, field
from typing import Any, Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.ports.live import live_ports
from kelpstage.testbed.checkers.history import HistoryWriter
from kelpstage.testbed.fleet.deployment import Deployment, configuration_of, digest_of, facts_of
from kelpstage.testbed.fleet.machine import NOISY_LAG_US
from kelpstage.testbed.fleet.processes import PORTS, PortPool, Process, Processes
from kelpstage.testbed.stand_ins.callers import Callers
from kelpstage.testbed.stand_ins.platform import Platform
from kelpstage.testbed.stand_ins.records import Cut

HOSTS = 4
LONG_WAIT_US = 90_000_000


class FleetTimeoutError(Exception):
    """A condition that had to come did not come."""


@dataclass(kw_only=True)
class Fleet(HistoryWriter):
    """Cores, edges, stand-ins; every event goes into `history`."""

    deployment: Deployment
    seed: int = 1
    pause_share: float = 0.002
    has_observers: bool = False  # the machines without a disk; of the others one may be lost
    port_range: range = PORTS
    history: list[dict] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.ports = live_ports(data_folder=None)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kelpstage-testbed-"))
        self.processes = Processes(folder=self.folder, ports=PortPool(ports=self.port_range))
        take = self.processes.ports.take
        deployment = self.deployment
        self.core_nodes = [node for node in deployment.nodes if node.has_disk]
        self.core_own = {n.name: take() for n in self.core_nodes}
        self.core_http = {n.name: take() for n in self.core_nodes}
        self.edge_own = {n.name: take() for n in deployment.nodes}
        self.edge_http = {n.name: take() for n in deployment.nodes}
        self.backend_address = {b.name: take() for b in deployment.backends}
        self.control: dict[str, str] = {}
        self.cut_in_force = deployment.cut.name
        self.cuts = {c.name: c for c in (deployment.cut, deployment.recut())}
        self.platform = Platform(
            ports=self.ports,
            nodes={n.name: (n.zone, self.edge_http[n.name]) for n in deployment.nodes},
            backends=dict(self.backend_address),
            address=take(),
            note=self.note,
        )
        self.callers = Callers(
            ports=self.ports,
            platform=self.platform,
            collection=deployment.collection,
            kinds=deployment.kinds,
            cuts=self.cuts,
            zones=deployment.zones,
            current_cut=lambda: self.cut_in_force,
            note=self.note,
            quorum=deployment.quorum,
        )

    def now_us(self) -> int:
        """The live clock in microseconds; it stamps the rows of the history."""
        return self.ports.clock.now_us()

    # --- starting --------------------------------------------------------------------

    async def start(self) -> None:
        """Start everything and wait until every edge that can be reached is known."""
        # The test process may lag by up to the threshold at which the machine counts as noisy.
        self.note({"event": "lines", "one_way_us": NOISY_LAG_US // 2})
        for cut in self.cuts.values():
            self.note({"event": "cut", "cut": cut.name, "shards": list(cut.shards)})
        self._start_hosts()
        await self.platform.open()
        for node in self.core_nodes:
            self.start_core(name=node.name)
        for node in self.deployment.nodes:
            self.start_edge(name=node.name)
            self.note({"event": "started", "edge": node.name})
        await self.wait_for(what="stand-ins", condition=self._hosts_are_up)
        await self.wait_for(what="a leader", condition=self.has_leader)

    def _start_hosts(self) -> None:
        backends = self.deployment.backends
        for place in range(HOSTS):
            mine = backends[place::HOSTS]
            control = self.processes.ports.take()
            plan = {
                "seed": self.seed * 100 + place,
                "control": control,
                "pause_share": self.pause_share,
                "cuts": {name: list(cut.shards) for name, cut in self.cuts.items()},
                "backends": [
                    {
                        "name": b.name,
                        "address": self.backend_address[b.name],
                        "shards": self.deployment.shards_of(backend=b.name),
                    }
                    for b in mine
                ],
            }
            path = self.folder / f"host-{place}-plan.json"
            path.write_text(json.dumps(plan), encoding="utf-8")
            self.processes.add(
                name=f"host-{place}",
                module="kelpstage.testbed.stand_ins.host",
                settings=None,
                arguments=[str(path)],
            ).start()
            for backend in mine:
                self.control[backend.name] = control

    def _seeds(self) -> list[str]:
        return list(self.core_own.values())

    def start_core(self, *, name: str) -> Process:
        """Start a core's process, or start it again on the same data folder and ports.

        The name of a replacement ends in `-new`; it runs in the zone of the core it replaces.
        """
        node = next(n for n in self.deployment.nodes if n.name == name.removesuffix("-new"))
        process = self.processes.all.get(f"core-{name}")
        if process is None:
            data = self.folder / f"data-{name}"
            data.mkdir(exist_ok=True)
            settings = {
                "domain": node.zone,
                "own": self.core_own[name],
                "http": self.core_http[name],
                "seeds": self._seeds(),
                "data": str(data),
                "bounds": {"tolerance": 1} if self.has_observers else {},
            }
            process = self.processes.add(
                name=f"core-{name}", module="kelpstage.core.main", settings=settings, arguments=[]
            )
        process.start()
        self.note({"event": "core", "core": name, "is_up": True})
        return process

    def start_edge(self, *, name: str) -> Process:
        """Start an edge's process, or start it again with the same settings and ports."""
        node = next(n for n in self.deployment.nodes if n.name == name)
        process = self.processes.all.get(f"edge-{name}")
        if process is None:
            settings = {
                "name": name,
                "domain": node.zone,
                "own": self.edge_own[name],
                "http": self.edge_http[name],
                "seeds": self._seeds(),
                "platform": f"http://{self.platform.address}/backends",
                "observer": self.has_observers and not node.has_disk,
            }
            process = self.processes.add(
                name=f"edge-{name}", module="kelpstage.edge.main", settings=settings, arguments=[]
            )
        process.start()
        return process

    # --- asking ------------------------------------------------------------------------

    async def get(self, *, address: str, path: str, wait_us: int = 2_000_000) -> Any:
        """The JSON body of a GET; `None` on any error or a status other than 200."""
        reply = await self.ports.net.fetch(
            call=HttpCall(method="GET", url=f"http://{address}{path}", wait_us=wait_us)
        )
        if isinstance(reply, KelpstageError) or reply.status != 200:
            return None
        return json.loads(reply.body)

    async def wait_for(
        self, *, what: str, condition: Callable[[], Awaitable[bool]], us: int = LONG_WAIT_US
    ) -> None:
        """Wait for a condition, never for a time."""
        until_us = self.ports.clock.now_us() + us
        while not await condition():
            if self.ports.clock.now_us() > until_us:
                raise FleetTimeoutError(what)
            await self.ports.clock.sleep(us=100_000)

    async def _hosts_are_up(self) -> bool:
        for control in set(self.control.values()):
            if await self.get(address=control, path="/receipts") is None:
                return False
        return True

    async def leader(self) -> str | None:
        """The node whose core reports that it leads; `None` if none does."""
        for name, address in list(self.core_http.items()):
            if not self.processes.all[f"core-{name}"].is_running:
                continue
            view = await self.get(address=address, path="/v1/status")
            if view and view.get("role") == "leader":
                return name
        return None

    async def has_leader(self) -> bool:
        """Does any running core report that it is the leader?"""
        return await self.leader() is not None

    async def edge_status(self, *, name: str) -> dict | None:
        """An edge's `/v1/status`; `None` while it doesn't answer."""
        return await self.get(address=self.edge_http[name], path="/v1/status")

    async def all_ready(self) -> bool:
        """Does every edge whose process runs answer `/ready` with 200?"""
        for name, address in self.edge_http.items():
            if not self.processes.all[f"edge-{name}"].is_running:
                continue
            if await self.get(address=address, path="/ready") is None:
                return False
        return True

    async def membership_is_whole(self) -> bool:
        """Does the first core list as many edges as the deployment has nodes?"""
        view = await self.get(address=next(iter(self.core_http.values())), path="/v1/roster")
        return view is not None and len(view["edges"]) == len(self.deployment.nodes)

    # --- acting ---------------------------------------------------------------------------

    async def put(
        self,
        *,
        document: bytes,
        expected: int,
        put_id: str,
        core: str | None = None,
        wait_us: int = 10_000_000,
    ) -> HttpReply | KelpstageError:
        """Put a configuration and note the reply."""
        address = self.core_http[core or next(iter(self.core_http))]
        sent_us = self.ports.clock.now_us()
        reply = await self.ports.net.fetch(
            call=HttpCall(
                method="PUT",
                url=f"http://{address}/v1/configuration",
                headers={
                    "If-Match": f'"{expected}"',
                    "Kelp-Put-Id": put_id,
                    "Kelp-Time-Left-Us": str(wait_us),
                },
                body=document,
                wait_us=wait_us + 1_000_000,
            )
        )
        row = {
            "event": "put",
            "put_id": put_id,
            "expected": expected,
            "sent_us": sent_us,
            "digest": digest_of(document=document),
            **facts_of(document=document),
            "document": base64.b64encode(document).decode(),
        }
        if isinstance(reply, KelpstageError):
            row |= {"status": 0, "end": reply.kind}
        else:
            row |= {"status": reply.status, "body": json.loads(reply.body)}
            row["end"] = "ok" if reply.status == 200 else row["body"]["defect"]["kind"]
        self.note(row)
        return reply

    async def steer(self, *, backend: str, **mode: Any) -> None:
        """Change how a stand-in behaves; invalid replies are noted for the checkers."""
        if "lie" in mode:
            self.note({"event": "lie", "backend": backend, "lie": mode["lie"]})
        if {"is_listening", "is_draining"} & set(mode):
            self.note({"event": "backend", "backend": backend, **mode})
        await self.ports.net.fetch(
            call=HttpCall(
                method="POST",
                url=f"http://{self.control[backend]}/control",
                body=json.dumps({"backend": backend, **mode}).encode(),
            )
        )

    def signal_edge(self, *, name: str, number: int) -> None:
        """Send a signal to an edge's process, by its id."""
        self.processes.all[f"edge-{name}"].send(number=number)

    def signal_core(self, *, name: str, number: int) -> None:
        """Send a signal to a core's process, by its id."""
        self.processes.all[f"core-{name}"].send(number=number)

    async def restart_edge(self, *, name: str) -> None:
        """Stop an edge by SIGTERM, wait for its end, start it again, wait until it is ready."""
        process = self.processes.all[f"edge-{name}"]
        self.signal_edge(name=name, number=signal.SIGTERM)
        await self.wait_for(what=f"{name} to end", condition=lambda: _is_ended(process))
        self.note({"event": "ended", "edge": name})
        self.start_edge(name=name)
        self.note({"event": "started", "edge": name})
        await self.wait_for(
            what=f"{name} to be ready",
            condition=lambda: self.is_ready(name=name),
        )
        self.note({"event": "ready", "edge": name})

    def kill_edges(self, *, names: list[str]) -> None:
        """End edges at once, without a warning."""
        for name in names:
            self.signal_edge(name=name, number=signal.SIGKILL)
        for name in names:
            self.processes.all[f"edge-{name}"].reap()
            self.note({"event": "ended", "edge": name})

    def kill_core(self, *, name: str) -> None:
        """End a core at once, without a warning."""
        self.processes.all[f"core-{name}"].kill()
        self.note({"event": "core", "core": name, "is_up": False})

    def lose_disk(self, *, name: str) -> None:
        """A core that has ended loses its folder; it will start empty."""
        data = self.folder / f"data-{name}"
        shutil.rmtree(data)
        data.mkdir()

    async def is_made_good(self, *, name: str) -> bool:
        """Is a core that lost its disk a voter again, as the replica that it is now?"""
        leader = await self.leader()
        if leader is None:
            return False
        view = await self.get(address=self.core_http[leader], path="/v1/status")
        voters = [m["replica"] for m in (view or {}).get("members", []) if m["is_voter"]]
        own = await self.get(address=self.core_http[name], path="/v1/status")
        return len(voters) == 3 and (own or {}).get("replica") in voters

    async def replace_core(self, *, name: str) -> str:
        """Kill a core, lose its folder, start an empty one at a new address; wait
        until the leader counts it among its voters."""
        self.kill_core(name=name)
        fresh = f"{name}-new"
        take = self.processes.ports.take
        self.core_own[fresh], self.core_http[fresh] = take(), take()
        lost = self.core_own.pop(name)
        del self.core_http[name]
        self.start_core(name=fresh)

        async def is_voter() -> bool:
            leader = await self.leader()
            if leader is None:
                return False
            view = await self.get(address=self.core_http[leader], path="/v1/status")
            voters = [m["address"] for m in (view or {}).get("members", []) if m["is_voter"]]
            return self.core_own[fresh] in voters and lost not in voters and len(voters) == 3

        await self.wait_for(what="the new core as a voter", condition=is_voter)
        return fresh

    async def read_back(self) -> None:
        """Read the configuration back at the end of the scenario."""
        sent_us = self.now_us()
        for address in self.core_http.values():
            reply = await self.ports.net.fetch(
                call=HttpCall(
                    method="GET", url=f"http://{address}/v1/configuration", wait_us=5_000_000
                )
            )
            if not isinstance(reply, KelpstageError) and reply.status == 200:
                self.note(
                    {
                        "event": "read_back",
                        "status": 200,
                        "sent_us": sent_us,
                        "version": int(reply.headers["etag"].strip('"')),
                        "digest": digest_of(document=reply.body),
                    }
                )
                return

    async def restart_core(self, *, name: str) -> None:
        """Stop a core by SIGTERM, start it on the same data and wait until it is ready."""
        process = self.processes.all[f"core-{name}"]
        self.signal_core(name=name, number=signal.SIGTERM)
        await self.wait_for(what=f"core {name} to end", condition=lambda: _is_ended(process))
        self.start_core(name=name)
        await self.wait_for(what=f"core {name}", condition=lambda: self.is_core_ready(name=name))

    async def is_ready(self, *, name: str) -> bool:
        """Does this edge answer `/ready` with 200?"""
        return await self.get(address=self.edge_http[name], path="/ready") is not None

    async def is_core_ready(self, *, name: str) -> bool:
        """Does this core answer `/ready` with 200?"""
        return await self.get(address=self.core_http[name], path="/ready") is not None

    def configuration(self, *, cut: Cut | None = None, note: str = "", **more: Any) -> bytes:
        """A configuration document for this deployment at the backends' live addresses.

        `cut` replaces the deployment's own; `more` goes to `configuration_of` as it is.
        """
        return configuration_of(
            deployment=self.deployment,
            addresses=self.backend_address,
            cut=cut,
            note=note,
            **more,
        )

    # --- the end ---------------------------------------------------------------------------

    async def collect_receipts(self) -> None:
        """Bring what the stand-ins saw into the history."""
        for control in sorted(set(self.control.values())):
            rows = await self.get(address=control, path="/receipts/take", wait_us=20_000_000)
            for row in rows or []:
                self.history.append(row)

    async def drain_callers(self) -> None:
        """Stop new calls; wait up to 10 s for the replies that are due."""
        self.callers.is_open = False

        async def is_quiet() -> bool:
            return self.callers.in_flight == 0

        await self.wait_for(what="open calls", condition=is_quiet, us=10_000_000)

    def stop(self) -> dict[str, str]:
        """End every process and remove the folder; the logs that they wrote, by file."""
        self.platform.close()
        self.processes.stop_all()
        logs = {
            path.name: path.read_text(encoding="utf-8", errors="replace").strip()
            for path in sorted(self.folder.glob("*.log"))
            if path.name.startswith(("edge-", "core-"))
        }
        shutil.rmtree(self.folder, ignore_errors=True)
        return {name: text for name, text in logs.items() if text}


async def _is_ended(process: Process) -> bool:
    return not process.is_running


def start_callers(*, fleet: Fleet) -> list[asyncio.Future]:
    """Let every kind of caller begin."""
    return [asyncio.ensure_future(fleet.callers.run(kind=kind)) for kind in fleet.deployment.kinds]
