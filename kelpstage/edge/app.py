"""An edge process: builds and starts its tasks and connects their callbacks."""

from __future__ import annotations

from collections import Counter
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.event_journal import Journal
from kelpstage.common.metrics.web import open_metrics_listener
from kelpstage.common.ports.interfaces import HttpLimits, Listener, Ports
from kelpstage.common.recording.writer import RecordingWriter
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
from kelpstage.edge.gather.helper_connections import HelperConnections
from kelpstage.edge.gather.messages import ConfigurationChanged, FetchConfiguration
from kelpstage.edge.gather.task import GatherTask
from kelpstage.edge.gossip.members import LEAVING
from kelpstage.edge.gossip.task import GossipTask
from kelpstage.edge.handlers import handle
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.task import LeaseTask
from kelpstage.edge.metrics import edge_families
from kelpstage.edge.timelines import Timelines
from kelpstage.edge.views import SearchStatistics
from kelpstage.edge.web.callers import serve_callers
from kelpstage.edge.web.forward import serve_forwarded
from kelpstage.edge.web.interfaces import ServeCall

MAX_BODY_BYTES = 1024 * 1024
SHUTDOWN_ACCEPT_US = 2_500_000  # a leaving edge still accepts requests for this long
SHUTDOWN_GRACE_US = 5_500_000  # limit for requests in flight, from the start of the shutdown
SHUTDOWN_POLL_US = 50_000


class Edge:
    """One `kelpstage-edge` process: owns its tasks and connects their callbacks.

    `open` starts it; `stop` shuts it down gracefully.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        settings: dict[str, Any],
        list_adapter: Any = None,
        serve: ServeCall = serve_callers,
    ) -> None:
        """`list_adapter` reads pages of the endpoint list; `serve` handles calls at the HTTP
        interface, so that a deployment can add paths of its own to it."""
        self.ports = ports
        self.settings = settings
        self.list_adapter = list_adapter
        self._serve = serve
        self.header_names = HeaderNames(**settings.get("header_names", {}))
        self.name: str = settings["name"]
        self.zone: str = settings["domain"]
        self.own_address: str = settings["own"]
        self.http: str = settings["http"]
        self.incarnation = ports.clock.wall_us()
        self.counts: Counter[str] = Counter()
        self.is_leaving = False
        self._last_refusal: str | None = "starting"
        self._listeners: list[Listener] = []
        self.address_poll: AddressPollTask | None = None
        self.discovery: DiscoveryTask | None = None
        self.recording_writer: RecordingWriter | None = None
        self._build_journals()
        self._build_transport()
        self._build_state()

    # --- construction -------------------------------------------------------------------

    def _build_journals(self) -> None:
        now = self.ports.clock.now_us
        self.journal = Journal(now=now)
        self.searches = SearchStatistics()
        self.journal.add_view(fold=self.searches.fold)
        self.timelines = Timelines()
        self.trace = Journal(now=now, limit=1)  # only its view, the timelines, is read
        self.trace.add_view(fold=self.timelines.fold)

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
        self.swim.on_ping_timeout = self._on_missed_ack
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

    # --- start --------------------------------------------------------------------

    async def open(self) -> KelpstageError | None:
        """Open all listeners, then start the tasks that find peers and acquire a lease."""
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
        self._start_address_poll()
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
            refresh=self._refresh_status,
            has_backends=lambda: bool(self.lease_holder.configuration.backends),
        )

    def _start_gather(self) -> None:
        self.gather = GatherTask(
            ports=self.ports,
            transport=self.transport,
            context=self.gather_context,
            on_fetch_configuration=self._on_fetch_configuration,
            on_backend_changed=self._on_backend_changed,
            sealed=SealedCodec(names=self.header_names),
        )
        self.helper_connections = HelperConnections(
            ports=self.ports, transport=self.transport, context=self.gather_context
        )

    async def _open_http(self) -> KelpstageError | None:
        """Open the HTTP interfaces for callers and, where one is set, for forwarded requests."""
        outcome = await self.ports.net.serve_http(
            address=self.http,
            on_call=lambda call: self._serve(edge=self, call=call),
            body_limit=MAX_BODY_BYTES,
            cancels_on_disconnect=True,
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._listeners = [outcome]
        if not self.settings.get("front"):
            return None
        outcome = await self.ports.net.serve_http(
            address=self.settings["front"],
            on_call=lambda call: serve_forwarded(edge=self, call=call),
            body_limit=MAX_BODY_BYTES,
            limits=self._caller_limits,
            cancels_on_disconnect=True,
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._listeners.insert(0, outcome)  # closed first
        return None

    def _start_recording(self) -> None:
        if self.settings.get("record"):
            name = f"{self.name}-{self.incarnation}.day"
            self.recording_writer = RecordingWriter(ports=self.ports, path=name, counts=self.counts)

    async def _start_metrics(self) -> None:
        """Serve metrics at a separate address, where one is set."""
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
            rollout_reports=self.registry.version_statistics.reports,
        )
        self.registry.version_statistics.on_bad_answer = self.leases.report_soon
        self.registry.version_statistics.now = self.ports.clock.now_us

    def _start_health_checks(self) -> None:
        self.health_checks = HealthCheckTask(
            ports=self.ports,
            registry=self.registry,
            lease_holder=self.lease_holder,
            me=self.name,
            edges=self.swim.live,
            on_changed=self._on_backend_changed,
            counts=self.counts,
        )

    def _start_address_poll(self) -> None:
        """Poll the platform for the backends' addresses, where its address is set."""
        if not self.settings.get("platform"):
            return
        self.address_poll = AddressPollTask(
            ports=self.ports,
            url=self.settings["platform"],
            registry=self.registry,
            on_changed=self._on_backend_changed,
            on_addresses=self._apply_configuration,
            check_soon=lambda name, is_new: self.health_checks.check_soon(name=name, is_new=is_new),
        )

    def _start_discovery(self) -> None:
        """Read the endpoint list and check ejected instances, where a list is set."""
        if not self.settings.get("list"):
            return
        self.discovery = DiscoveryTask(
            ports=self.ports,
            transport=self.transport,
            swim=self.swim,
            registry=self.registry,
            adapter=self.list_adapter,
            own=self.own_address,
            counts=self.counts,
            is_ready=lambda: not self.not_ready_reason(),
            on_changed=self._on_instances_changed,
            calls_per_s=self.settings["list"].get("calls_per_s", 0.0),
        )
        self.ejected_checks = EjectedCheckTask(
            ports=self.ports,
            registry=self.registry,
            me=self.name,
            edges=self._edges_by_zone,
            health_path=self._health_path,
            instance_header=self.header_names.instance,
            counts=self.counts,
        )

    async def _on_message(self, message: Any, source: str) -> Any:
        return await handle(message, self, source)

    def _caller_limits(self) -> HttpLimits:
        """The size and time limits for clients' requests under the current configuration."""
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
        """Apply the settings that may change while an edge runs: its seeds."""
        if list(settings["seeds"]) != list(self.settings["seeds"]):
            self.leases.replace_seeds(seeds=settings["seeds"])
        self.settings = settings

    # --- callbacks between the tasks -----------------------------------------------

    def not_ready_reason(self) -> str:
        """The reason why this edge is not ready; empty if it is."""
        if self.is_leaving:
            return "leaving"
        refusal = self.lease_holder.refusal(now_us=self.ports.clock.now_us())
        if not refusal and self.discovery is not None and not self.discovery.endpoints.is_known:
            return "the list of backends is not known yet"
        return refusal

    def _refresh_status(self) -> None:
        refusal = self.not_ready_reason()
        me = self.swim.me
        me.load = len(self.gather.table)
        me.is_ready = not refusal
        self.gather_context.budget.note_edges(
            edges=len(self.swim.live()), now_us=self.ports.clock.now_us()
        )
        if refusal != self._last_refusal:
            self._last_refusal = refusal
            self.journal.add(ServingChanged(is_serving=not refusal, why=refusal))

    def _apply_configuration(self) -> None:
        listed = self.address_poll.addresses() if self.address_poll else {}
        self.registry.apply_configuration(
            configuration=self.lease_holder.configuration, listed=listed
        )

    def _on_installed(self) -> None:
        self._apply_configuration()
        self.registry.version_routing.apply(
            rollouts=self.lease_holder.rollouts, now_us=self.ports.clock.now_us()
        )
        self.gather.inbox.put_nowait(ConfigurationChanged())
        self._refresh_status()

    def _on_fetch_configuration(self, want: FetchConfiguration) -> None:
        """Fetch the newer configuration that a request needs from the node that has it."""
        member = self.swim.members.get(want.source)
        self.leases.start_fetch(first=member.info.address if member else want.source)

    def _on_missed_ack(self, name: str) -> None:
        """Record a missed gossip ack: the peer is not chosen as a helper for a while."""
        self.gather_context.now_us = self.ports.clock.now_us()
        self.gather_context.note_missed_ack(name=name)

    def _on_ack(self, name: str, took_us: int) -> None:
        """Record a gossip ack of a peer and its round-trip time."""
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
        """Record instances that the endpoint list added, removed or marked as draining.

        All edges receive updates of the list itself, so gossip does not spread the change.
        """
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

    # --- shutdown ------------------------------------------------------------------------

    async def _wait_for_in_flight(self, *, until_us: int) -> None:
        """Wait until no request is in flight, at most until the given time."""
        while len(self.gather.table) and self.ports.clock.now_us() < until_us:
            await self.ports.clock.sleep(us=SHUTDOWN_POLL_US)
        await self.ports.clock.sleep(us=SHUTDOWN_POLL_US)  # to send the last replies

    async def stop(self) -> None:
        """Shut down gracefully: report not ready at once, but serve until callers have moved."""
        clock = self.ports.clock
        self.is_leaving = True
        if self.discovery is not None:
            self.discovery.leave()
        self.swim.me.status = LEAVING
        self.journal.add(Leaving())
        self.gossip.send_updates()
        started_us = clock.now_us()
        await clock.sleep(us=SHUTDOWN_ACCEPT_US)
        for listener in self._listeners:
            listener.close()
        await self._wait_for_in_flight(until_us=started_us + SHUTDOWN_GRACE_US)
        await self.leases.leave()
        await self._wait_for_in_flight(until_us=started_us + SHUTDOWN_GRACE_US)
        if self.recording_writer is not None:
            await self.recording_writer.flush()
        self.server.close()
        self.gossip.close()
        self.transport.close()
