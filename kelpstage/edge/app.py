"""An edge process: the composition root of its tasks, and how they tell each other."""

from __future__ import annotations

from collections import Counter
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.event_journal import Journal
from kelpstage.common.metrics.web import open_metrics_listener
from kelpstage.common.ports.interfaces import HttpLimits, Listener, Ports
from kelpstage.common.recording.writer import DayWriter
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.server import TransportServer
from kelpstage.edge.backend.address_poll import AddressPollTask
from kelpstage.edge.backend.backend_state import STATE_NAMES
from kelpstage.edge.backend.discovery import DiscoveryTask
from kelpstage.edge.backend.ejected_check import EjectedCheckTask
from kelpstage.edge.backend.health_check import HealthCheckTask
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.composition import (
    build_contact,
    build_gather_context,
    build_swim,
    build_zone_distances,
)
from kelpstage.edge.events import BackendChanged, Leaving, ServingChanged
from kelpstage.edge.forward.headers import HeaderNames
from kelpstage.edge.forward.sealed_answer import SealedCodec
from kelpstage.edge.gather.messages import ConfigurationChanged, FetchConfiguration
from kelpstage.edge.gather.task import GatherTask
from kelpstage.edge.gossip.members import LEAVING
from kelpstage.edge.gossip.task import GossipTask
from kelpstage.edge.handlers import handle
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.task import LeaseTask
from kelpstage.edge.metrics import edge_families
from kelpstage.edge.timelines import Timelines
from kelpstage.edge.views import Searches
from kelpstage.edge.web.callers import serve_callers
from kelpstage.edge.web.forward import serve_forwarded
from kelpstage.edge.web.interfaces import ServeCall

BODY_LIMIT = 1024 * 1024  # bytes
LINGER_US = 2_500_000  # a leaving edge still takes requests for so long
GRACE_US = 5_500_000  # a leaving edge ends what is in flight within so long
LOOK_US = 50_000


class Edge:
    """One `kelpstage-edge`: the composition root of its tasks, and how they tell each other.

    `open` starts it; `stop` ends it as planned.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        settings: dict[str, Any],
        lists: Any = None,
        serve: ServeCall = serve_callers,
    ) -> None:
        """`lists` reads pages of the list of backends, `serve` answers at the own
        interface (a deployment may put words of its own before it)."""
        self.ports = ports
        self.settings = settings
        self.lists = lists
        self._serve = serve
        self.names = HeaderNames(**settings.get("header_names", {}))
        self.name: str = settings["name"]
        self.zone: str = settings["domain"]
        self.own_address: str = settings["own"]
        self.http: str = settings["http"]
        self.incarnation = ports.clock.wall_us()
        self.counts: Counter[str] = Counter()
        self.is_leaving = False
        self._last_refusal: str | None = "starting"
        self._listeners: list[Listener] = []
        self.platform: AddressPollTask | None = None
        self.discovery: DiscoveryTask | None = None
        self.day: DayWriter | None = None
        self._build_journals()
        self._build_transport()
        self._build_state()

    # --- building -------------------------------------------------------------------

    def _build_journals(self) -> None:
        now = self.ports.clock.now_us
        self.journal = Journal(now=now)
        self.searches = Searches()
        self.journal.view(fold=self.searches.fold)
        self.timelines = Timelines()
        self.trace = Journal(now=now, limit=1)  # its view is what is kept
        self.trace.view(fold=self.timelines.fold)

    def _build_transport(self) -> None:
        self.transport = Transport(ports=self.ports, counts=self.counts)
        self.server = TransportServer(
            ports=self.ports,
            address=self.own_address,
            on_message=self._on_message,
            counts=self.counts,
        )

    def _build_state(self) -> None:
        settings, ports = self.settings, self.ports
        self.lease_holder = LeaseHolder(me=self.name)
        zone_distances = build_zone_distances(settings=settings)
        self.registry = BackendRegistry(me=self.name, zone_distances=zone_distances)
        self.swim = build_swim(settings=settings, ports=ports, incarnation=self.incarnation)
        self.swim.is_near = lambda zone: zone_distances.is_same_region(zone=zone)
        self.swim.on_ping_timeout = self._on_silent
        self.swim.on_ack = self._on_ack
        self.gather_context = build_gather_context(
            settings=settings,
            ports=ports,
            lease_holder=self.lease_holder,
            swim=self.swim,
            registry=self.registry,
            journal=self.journal,
            trace=self.trace,
        )

    # --- opening --------------------------------------------------------------------

    async def open(self) -> KelpstageError | None:
        """Open every listener, then look for peers and a lease."""
        self._start_gossip()
        self._start_gather()
        for error in (await self.server.open(), await self.gossip.open()):
            if error is not None:
                return error
        error = await self._open_http()
        if error is not None:
            return error
        self._start_recording()
        await self._start_metrics()
        self._start_leases()
        self._start_health_checks()
        self._start_platform()
        self._start_discovery()
        return None

    def _start_gossip(self) -> None:
        self.gossip = GossipTask(
            ports=self.ports,
            journal=self.journal,
            swim=self.swim,
            registry=self.registry,
            address=self.own_address,
            counts=self.counts,
            refresh=self._refresh,
            has_backends=lambda: bool(self.lease_holder.configuration.backends),
        )

    def _start_gather(self) -> None:
        self.gather = GatherTask(
            ports=self.ports,
            transport=self.transport,
            context=self.gather_context,
            on_fetch_configuration=self._on_fetch_configuration,
            on_backend_changed=self._on_backend_changed,
            sealed=SealedCodec(names=self.names),
        )

    async def _open_http(self) -> KelpstageError | None:
        """Listen for callers, and for clients whose requests are forwarded."""
        outcome = await self.ports.net.serve_http(
            address=self.http,
            on_call=lambda call: self._serve(edge=self, call=call),
            body_limit=BODY_LIMIT,
            is_cancelling=True,
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._listeners = [outcome]
        if not self.settings.get("front"):
            return None
        outcome = await self.ports.net.serve_http(
            address=self.settings["front"],
            on_call=lambda call: serve_forwarded(edge=self, call=call),
            body_limit=BODY_LIMIT,
            limits=self._caller_limits,
            is_cancelling=True,
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._listeners.insert(0, outcome)  # the first to be closed
        return None

    def _start_recording(self) -> None:
        if self.settings.get("record"):
            name = f"{self.name}-{self.incarnation}.day"
            self.day = DayWriter(ports=self.ports, path=name, counts=self.counts)

    async def _start_metrics(self) -> None:
        """Tell the own figures at an address of their own, where one is set."""
        if self.settings.get("metrics"):
            listener = await open_metrics_listener(
                ports=self.ports,
                address=self.settings["metrics"],
                collect=lambda: edge_families(edge=self),
            )
            self._listeners += [listener] if listener is not None else []

    def _start_leases(self) -> None:
        self.leases = LeaseTask(
            ports=self.ports,
            transport=self.transport,
            lease_holder=self.lease_holder,
            swim=self.swim,
            journal=self.journal,
            seeds=self.settings["seeds"],
            contact=build_contact(settings=self.settings, incarnation=self.incarnation),
            on_installed=self._on_installed,
            is_observer=self.settings.get("observer", False),
        )

    def _start_health_checks(self) -> None:
        self.probes = HealthCheckTask(
            ports=self.ports,
            registry=self.registry,
            lease_holder=self.lease_holder,
            me=self.name,
            edges=self.swim.live,
            on_changed=self._on_backend_changed,
            counts=self.counts,
        )

    def _start_platform(self) -> None:
        """Poll the platform for the backends' addresses, where there is one."""
        if not self.settings.get("platform"):
            return
        self.platform = AddressPollTask(
            ports=self.ports,
            url=self.settings["platform"],
            registry=self.registry,
            on_changed=self._on_backend_changed,
            on_addresses=self._declare,
            check_soon=lambda name, is_new: self.probes.check_soon(name=name, is_new=is_new),
        )

    def _start_discovery(self) -> None:
        """Read the list of backends, where there is one."""
        if not self.settings.get("list"):
            return
        self.discovery = DiscoveryTask(
            ports=self.ports,
            transport=self.transport,
            swim=self.swim,
            registry=self.registry,
            adapter=self.lists,
            own=self.own_address,
            counts=self.counts,
            is_ready=lambda: not self.refusal(),
            on_changed=self._on_instances_changed,
            calls_per_s=self.settings["list"].get("calls_per_s", 0.0),
        )
        self.suspects = EjectedCheckTask(
            ports=self.ports,
            registry=self.registry,
            me=self.name,
            edges=self._edges_by_zone,
            health_path=self._health_path,
            instance_header=self.names.instance,
            counts=self.counts,
        )

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

    def reload_settings(self, *, settings: dict[str, Any]) -> None:
        """Take over what may change in the settings of a running edge: its seeds."""
        if list(settings["seeds"]) != list(self.settings["seeds"]):
            self.leases.replace_seeds(seeds=settings["seeds"])
        self.settings = settings

    # --- how the tasks tell each other ---------------------------------------------

    def refusal(self) -> str:
        """Why this edge is not ready; empty if it is."""
        if self.is_leaving:
            return "leaving"
        refusal = self.lease_holder.refusal(now_us=self.ports.clock.now_us())
        if not refusal and self.discovery is not None and not self.discovery.endpoints.is_known:
            return "the list of backends is not known yet"
        return refusal

    def _refresh(self) -> None:
        refusal = self.refusal()
        me = self.swim.me
        me.load = len(self.gather.table)
        me.is_ready = not refusal
        self.gather_context.budget.note_edges(
            edges=len(self.swim.live()), now_us=self.ports.clock.now_us()
        )
        if refusal != self._last_refusal:
            self._last_refusal = refusal
            self.journal.add(ServingChanged(is_serving=not refusal, why=refusal))

    def _declare(self) -> None:
        listed = self.platform.addresses() if self.platform else {}
        self.registry.apply_configuration(
            configuration=self.lease_holder.configuration, listed=listed
        )

    def _on_installed(self) -> None:
        self._declare()
        self.gather.inbox.put_nowait(ConfigurationChanged())
        self._refresh()

    def _on_fetch_configuration(self, want: FetchConfiguration) -> None:
        """A request needs a newer configuration: fetch it from the node that has it."""
        member = self.swim.members.get(want.source)
        self.leases.start_fetch(first=member.info.address if member else want.source)

    def _on_silent(self, name: str) -> None:
        """A peer gave gossip no direct ack: it is not to be a helper for a while."""
        self.gather_context.now_us = self.ports.clock.now_us()
        self.gather_context.note_missed_ack(name=name)

    def _on_ack(self, name: str, took_us: int) -> None:
        """A peer gave gossip an ack, after this round trip."""
        self.gather_context.note_reply(name=name)
        self.gather_context.note_round_trip(name=name, took_us=took_us)
        member = self.swim.members.get(name)
        if member is not None and member.info.zone:
            self.registry.zone_distances.note_round_trip(zone=member.info.zone, took_us=took_us)

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
        """The list gave instances that came, went or began to drain; all edges learn it
        from the list's own updates, so that gossip need not tell it."""
        for name in names:
            entry = self.registry.entries[name]
            state = "gone" if entry.removed_us else STATE_NAMES[entry.state]
            self.journal.add(
                BackendChanged(backend=name, state=state, why=entry.why, seen_by=self.name)
            )

    def _on_backend_changed(self, name: str) -> None:
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
        self.gossip.send_updates()

    # --- end -----------------------------------------------------------------------------

    async def _finish(self, *, until_us: int) -> None:
        """What is in flight ends before the process does."""
        while len(self.gather.table) and self.ports.clock.now_us() < until_us:
            await self.ports.clock.sleep(us=LOOK_US)
        await self.ports.clock.sleep(us=LOOK_US)  # the last replies' bytes

    async def stop(self) -> None:
        """Planned stop: not ready at once, still serving until callers are gone."""
        clock = self.ports.clock
        self.is_leaving = True
        if self.discovery is not None:
            self.discovery.leave()
        self.swim.me.status = LEAVING
        self.journal.add(Leaving())
        self.gossip.send_updates()
        started_us = clock.now_us()
        await clock.sleep(us=LINGER_US)
        for listener in self._listeners:
            listener.close()
        await self._finish(until_us=started_us + GRACE_US)
        await self.leases.leave()
        await self._finish(until_us=started_us + GRACE_US)
        if self.day is not None:
            await self.day.flush()
        self.server.close()
        self.gossip.close()
        self.transport.close()
