"""An edge process: its tasks and how they hear of each other."""

from __future__ import annotations

from collections import Counter
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import HttpLimits, Ports
from kelpstage.common.recording.writer import DayWriter
from kelpstage.common.transport.connections import Lines
from kelpstage.common.transport.messages import EdgeContact, MemberMsg
from kelpstage.common.transport.server import LineServer
from kelpstage.edge.backend.address_poll import PlatformTask
from kelpstage.edge.backend.discovery import DiscoveryTask
from kelpstage.edge.backend.ejected_check import SuspectTask
from kelpstage.edge.backend.health_check import ProbeTask
from kelpstage.edge.backend.registry import STATE_NAMES, BackendRegistry
from kelpstage.edge.backend.zones import ZoneDistances
from kelpstage.edge.events import BackendChanged, Leaving, ServingChanged
from kelpstage.edge.forward.headers import HeaderNames
from kelpstage.edge.forward.sealed_answer import SealedCodec
from kelpstage.edge.gather.context import World
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gather.messages import ConfigurationMoved, WantState
from kelpstage.edge.gather.task import GatherTask
from kelpstage.edge.gossip.swim import LEAVING, Swim
from kelpstage.edge.gossip.task import GossipTask
from kelpstage.edge.handlers import handle
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.task import LeaseTask
from kelpstage.edge.retries.budget import SERVICE_SLACK, SPAN_US, Budget
from kelpstage.edge.timelines import Timelines
from kelpstage.edge.views import Searches
from kelpstage.edge.web.callers import serve_callers
from kelpstage.edge.web.forward import serve_forwarded

BODY_LIMIT = 1024 * 1024
LINGER_US = 2_500_000
GRACE_US = 5_500_000
LOOK_US = 50_000


class Edge:
    """One `kelpstage-edge`."""

    def __init__(
        self, *, ports: Ports, settings: dict, lists: Any = None, serve: Callable = serve_callers
    ) -> None:
        """`lists` reads pages of the list of backends, `serve` answers at the own
        interface (a deployment may put words of its own before it)."""
        self.ports = ports
        self.settings = settings
        self.lists = lists
        self.names = HeaderNames(**settings.get("header_names", {}))
        self._serve = serve
        self._front: Any = None
        self.name: str = settings["name"]
        self.zone: str = settings["domain"]
        self.own: str = settings["own"]
        self.http: str = settings["http"]
        self.incarnation = ports.clock.wall_us()
        self.counts: Counter = Counter()
        self.journal = Journal(now=ports.clock.now_us)
        self.searches = Searches()
        self.journal.view(fold=self.searches.fold)
        self.timelines = Timelines()
        self.trace = Journal(now=ports.clock.now_us, limit=1)  # its view is what is kept
        self.trace.view(fold=self.timelines.fold)
        self.lines = Lines(ports=ports, counts=self.counts)
        self.server = LineServer(
            ports=ports, address=self.own, on_message=self._on_message, counts=self.counts
        )
        self.lease_holder = LeaseHolder(me=self.name)
        bounds = settings.get("bounds", {})
        places = ZoneDistances(
            zone=self.zone, region=bounds.get("region", ""), zones=bounds.get("zones", {})
        )
        self.registry = BackendRegistry(me=self.name, places=places)
        self.swim = Swim(
            me=MemberMsg(
                name=self.name,
                address=self.own,
                incarnation=self.incarnation,
                beat=1,
                zone=self.zone,
                http=self.http,
            ),
            rand=ports.rand,
            backend_states=lambda: [],
            on_backend_state=lambda backend_state: None,
        )
        self.world = World(
            me=self.name,
            zone=self.zone,
            own=self.own,
            rand=ports.rand,
            lease_holder=self.lease_holder,
            swim=self.swim,
            registry=self.registry,
            latencies=LatencyEstimates(),
            budget=Budget(
                ratio=bounds.get("retry_ratio"),
                window_us=bounds.get("retry_window_us", SPAN_US),
                slack=bounds.get("retry_slack", SERVICE_SLACK),
                me=self.name,
                born_us=ports.clock.now_us(),
            ),
            journal=self.journal,
            trace=self.trace,
            next_round=ports.rand.getrandbits(40),
            regions=bounds.get("zones", {}),
        )
        self.swim.is_near = lambda zone: places.is_same_region(zone=zone)
        self.swim.on_silent = self._on_silent
        self.swim.on_ack = self._on_ack
        self.is_leaving = False
        self._was_serving: str | None = "starting"
        self._listener: Any = None
        self.platform: PlatformTask | None = None
        self.discovery: DiscoveryTask | None = None
        self.day: DayWriter | None = None

    async def open(self) -> KelpstageError | None:
        """Open every line, then look for peers and a lease."""
        self.gossip = GossipTask(
            ports=self.ports,
            journal=self.journal,
            swim=self.swim,
            registry=self.registry,
            address=self.own,
            counts=self.counts,
            refresh=self._refresh,
            has_backends=lambda: bool(self.lease_holder.configuration.backends),
        )
        self.gather = GatherTask(
            ports=self.ports,
            lines=self.lines,
            world=self.world,
            on_want_state=self._on_want_state,
            on_backend_news=self._on_backend_news,
            sealed=SealedCodec(names=self.names),
        )
        for error in (await self.server.open(), await self.gossip.open()):
            if error is not None:
                return error
        outcome = await self.ports.net.serve_http(
            address=self.http,
            on_call=lambda call: self._serve(edge=self, call=call),
            body_limit=BODY_LIMIT,
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._listener = outcome
        if self.settings.get("front"):
            outcome = await self.ports.net.serve_http(
                address=self.settings["front"],
                on_call=lambda call: serve_forwarded(edge=self, call=call),
                body_limit=BODY_LIMIT,
                limits=self._caller_limits,
            )
            if isinstance(outcome, KelpstageError):
                return outcome
            self._front = outcome
        if self.settings.get("record"):
            name = f"{self.name}-{self.incarnation}.day"
            self.day = DayWriter(ports=self.ports, path=name, counts=self.counts)
        self.leases = LeaseTask(
            ports=self.ports,
            lines=self.lines,
            lease_holder=self.lease_holder,
            swim=self.swim,
            journal=self.journal,
            seeds=self.settings["seeds"],
            contact=EdgeContact(
                name=self.name,
                address=self.own,
                zone=self.zone,
                http=self.http,
                incarnation=self.incarnation,
            ),
            on_installed=self._on_installed,
        )
        self.probes = ProbeTask(
            ports=self.ports,
            registry=self.registry,
            lease_holder=self.lease_holder,
            me=self.name,
            edges=self.swim.live,
            on_news=self._on_backend_news,
            counts=self.counts,
        )
        if self.settings.get("platform"):
            self.platform = PlatformTask(
                ports=self.ports,
                url=self.settings["platform"],
                registry=self.registry,
                on_news=self._on_backend_news,
                on_addresses=self._declare,
                look_soon=lambda name, is_new: self.probes.look_soon(name=name, is_new=is_new),
            )
        if self.settings.get("list"):
            self.discovery = DiscoveryTask(
                ports=self.ports,
                lines=self.lines,
                swim=self.swim,
                registry=self.registry,
                adapter=self.lists,
                own=self.own,
                counts=self.counts,
                is_ready=lambda: not self.refusal(),
                on_changed=self._on_instances_changed,
                calls_per_s=self.settings["list"].get("calls_per_s", 0.0),
            )
            self.suspects = SuspectTask(
                ports=self.ports,
                registry=self.registry,
                me=self.name,
                edges=self._edges_by_zone,
                health_path=self._health_path,
                instance_header=self.names.instance,
                counts=self.counts,
            )
        return None

    async def _on_message(self, message: Any, source: str) -> Any:
        return await handle(message, self, source)

    def _caller_limits(self) -> HttpLimits:
        """What a client may send just now, and how long it may take over it."""
        limits = self.lease_holder.configuration.limits
        if limits is None:
            return HttpLimits()
        return HttpLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_us=limits.header_us,
            idle_us=limits.idle_us,
        )

    def reread(self, *, settings: dict) -> None:
        """Take over what may change in the settings of a running edge: its seeds."""
        if list(settings["seeds"]) != list(self.settings["seeds"]):
            self.leases.use_seeds(seeds=settings["seeds"])
        self.settings = settings

    # --- how the tasks hear of each other ------------------------------------------

    def refusal(self) -> str:
        """Why this edge is not ready; empty if it is."""
        if self.is_leaving:
            return "leaving"
        refusal = self.lease_holder.refusal(now_us=self.ports.clock.now_us())
        if not refusal and self.discovery is not None and not self.discovery.roll.is_known:
            return "the list of backends is not known yet"
        return refusal

    def _refresh(self) -> None:
        refusal = self.refusal()
        me = self.swim.me
        me.load = len(self.gather.table)
        me.is_ready = not refusal
        self.world.budget.note_edges(edges=len(self.swim.live()), now_us=self.ports.clock.now_us())
        if refusal != self._was_serving:
            self._was_serving = refusal
            self.journal.add(ServingChanged(is_serving=not refusal, why=refusal))

    def _declare(self) -> None:
        listed = self.platform.addresses() if self.platform else {}
        self.registry.declare(configuration=self.lease_holder.configuration, listed=listed)

    def _on_installed(self) -> None:
        self._declare()
        self.gather.inbox.put_nowait(ConfigurationMoved())
        self._refresh()

    def _on_want_state(self, want: WantState) -> None:
        member = self.swim.members.get(want.source)
        self.leases.fetch_soon(first=member.info.address if member else want.source)

    def _on_silent(self, name: str) -> None:
        """A peer gave gossip no direct ack: it is not to be a helper for a while."""
        self.world.now_us = self.ports.clock.now_us()
        self.world.note_silent(name=name)

    def _on_ack(self, name: str, took_us: int) -> None:
        """It did, and this is how far it is."""
        self.world.note_reply(name=name)
        self.world.note_distance(name=name, took_us=took_us)
        member = self.swim.members.get(name)
        if member is not None and member.info.zone:
            self.registry.places.note_round_trip(zone=member.info.zone, took_us=took_us)

    def _edges_by_zone(self) -> dict[str, str]:
        members = self.swim.members
        return {
            name: members[name].info.zone if name in members else self.zone
            for name in self.swim.live()
        }

    def _health_path(self, service: str) -> str:
        declared = self.lease_holder.configuration.services.get(service)
        return declared.health_path if declared else ""

    def _on_instances_changed(self, names: list[str]) -> None:
        """The list gave lives that came, went or began to drain; all hear it by the
        list's own news, so that gossip need not tell it."""
        for name in names:
            entry = self.registry.entries[name]
            state = "gone" if entry.gone_us else STATE_NAMES[entry.state]
            self.journal.add(
                BackendChanged(backend=name, state=state, why=entry.why, seen_by=self.name)
            )

    def _on_backend_news(self, name: str) -> None:
        entry = self.registry.entries.get(name)
        if entry is not None:
            self.journal.add(
                BackendChanged(
                    backend=name,
                    state=STATE_NAMES[entry.state],
                    why=entry.why,
                    seen_by=self.name,
                )
            )
        self.gossip.spread()

    # --- end -----------------------------------------------------------------------------

    async def _finish(self, *, until_us: int) -> None:
        """What is in flight ends before the process does."""
        while len(self.gather.table) and self.ports.clock.now_us() < until_us:
            await self.ports.clock.sleep(us=LOOK_US)
        await self.ports.clock.sleep(us=LOOK_US)  # the last verdicts' bytes

    async def stop(self) -> None:
        """Planned stop: not ready at once, still serving until callers are gone."""
        clock = self.ports.clock
        self.is_leaving = True
        if self.discovery is not None:
            self.discovery.leave()
        self.swim.me.status = LEAVING
        self.journal.add(Leaving())
        self.gossip.spread()
        started_us = clock.now_us()
        await clock.sleep(us=LINGER_US)
        for listener in (self._front, self._listener):
            if listener is not None:
                listener.close()
        await self._finish(until_us=started_us + GRACE_US)
        await self.leases.leave()
        await self._finish(until_us=started_us + GRACE_US)
        if self.day is not None:
            await self.day.flush()
        self.server.close()
        self.gossip.close()
        self.lines.close()
