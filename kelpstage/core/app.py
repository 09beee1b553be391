"""A core process, built from its parts: the composition root of `kelpstage.core`.

Listens for other processes and for operators, and runs one replica at a time. After a disk
error the replica is stopped and rebuilt from the disk.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, Awaitable, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.storage import LogDamagedError
from kelpstage.common.event_journal import Journal
from kelpstage.common.log.ring import logger
from kelpstage.common.metrics.web import open_metrics_listener
from kelpstage.common.ports.interfaces import HttpReply, Listener, Ports
from kelpstage.common.settings.bounds import bounds_of, voters_of
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import (
    CoreMember,
    EdgeContact,
    SeedProbe,
    SeedState,
)
from kelpstage.common.transport.server import TransportServer
from kelpstage.core.bootstrap import (
    FOUNDING_TERM,
    JoinCluster,
    WaitForSeeds,
    decide_bootstrap,
    founding_snapshot,
)
from kelpstage.core.edge_contacts import EdgeContacts
from kelpstage.core.events import (
    DiskFailed,
    Founded,
    JoinedCluster,
    LeaveEnded,
    SetAside,
    Started,
)
from kelpstage.core.graceful_leave import GracefulLeave
from kelpstage.core.handlers import handle
from kelpstage.core.leases.lease_service import LeaseService
from kelpstage.core.membership_requests import send_join_requests
from kelpstage.core.raft import types as raft
from kelpstage.core.replica_task import ReplicaTask
from kelpstage.core.rollouts.service import RolloutService
from kelpstage.core.store.records import DiskIdentity, DiskSnapshot
from kelpstage.core.store.recovery import Recovered
from kelpstage.core.store.store import Store
from kelpstage.core.web.metrics import core_families
from kelpstage.core.web.operators import serve_operators

RESTART_DELAY_US = 300_000  # after a disk error
LEAVE_FRACTION = 0.6  # of the stop grace period, available for leaving the cluster
SEED_PROBE_TIMEOUT_US = 500_000
BOOTSTRAP_INTERVAL_US = 100_000  # between attempts while this core belongs to no cluster
OPERATOR_BODY_LIMIT = 4 * 1024 * 1024 + 1024
log = logger(name="core")


class Core:
    """One core process.

    Owns the identity, the running replica and its services. `task`, `lease_service` and
    `rollout_service` are set together while a replica runs, and are None otherwise.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        settings: dict[str, Any],
        serve: Callable[..., Awaitable[HttpReply]] = serve_operators,
    ) -> None:
        """`serve` answers operators' calls; a deployment may wrap `serve_operators`."""
        self.ports = ports
        self.settings = settings
        self.bounds = bounds_of(settings=settings)
        self._serve = serve
        self.own_address: str = settings["own"]
        self.http: str = settings["http"]
        self.seeds: list[str] = list(settings["seeds"])
        self.counts: Counter[str] = Counter()
        self.operator_calls: Counter[str] = Counter()
        self.journal = Journal(now=ports.clock.now_us)
        self.transport = Transport(ports=ports, counts=self.counts)
        self.server = TransportServer(
            ports=ports, address=self.own_address, on_message=self._on_message, counts=self.counts
        )
        self.store = Store(ports=ports)
        self.identity: DiskIdentity | None = None
        self.task: ReplicaTask | None = None
        self.lease_service: LeaseService | None = None
        self.rollout_service: RolloutService | None = None
        self.is_stopping = False
        self.waits_for = "starting"
        self._edge_contacts = EdgeContacts(ports=ports)
        self._disk_failed: asyncio.Event = asyncio.Event()
        self._http_listener: Any = None
        self._metrics_listener: Listener | None = None

    async def open(self) -> KelpstageError | None:
        """Listen on both addresses, then run the replica in the background."""
        error = await self.server.open()
        if error is not None:
            return error
        outcome = await self.ports.net.serve_http(
            address=self.http,
            on_call=lambda call: self._serve(core=self, call=call),
            body_limit=OPERATOR_BODY_LIMIT,
        )
        if isinstance(outcome, KelpstageError):
            return outcome
        self._http_listener = outcome
        if self.settings.get("metrics"):
            self._metrics_listener = await open_metrics_listener(
                ports=self.ports,
                address=self.settings["metrics"],
                collect=lambda: core_families(core=self),
            )
        self.ports.spawn_critical(self._run_replicas())
        self.ports.spawn_critical(send_join_requests(core=self))
        return None

    async def _on_message(self, message: Any, source: str) -> Any:
        return await handle(message, self, source)

    async def _run_replicas(self) -> None:
        while not self.is_stopping:
            recovered = await self._recover()
            if isinstance(recovered, KelpstageError):
                self._report_disk_error(error=recovered)
                await self.ports.clock.sleep(us=RESTART_DELAY_US)
                continue
            if recovered is None:
                await self.ports.clock.sleep(us=BOOTSTRAP_INTERVAL_US)
                continue
            await self._run_replica(recovered=recovered)

    async def _recover(self) -> Recovered | None | KelpstageError:
        identity = await self.store.read_identity()
        if isinstance(identity, LogDamagedError):
            return await self._discard_replica(damage=identity)
        if isinstance(identity, KelpstageError):
            return identity
        if identity is None:
            identity = DiskIdentity(replica=f"{self.ports.rand.getrandbits(64):016x}")
            error = await self.store.write_identity(identity=identity)
            if error is not None:
                return error
        self.identity = identity
        if not identity.cluster:
            return await self._found_or_join()
        recovered = await self.store.recover(identity=identity)
        if isinstance(recovered, LogDamagedError):
            return await self._discard_replica(damage=recovered)
        return recovered

    async def _discard_replica(self, *, damage: LogDamagedError) -> KelpstageError | None:
        """Discard a damaged replica; this core restarts as a new, empty replica."""
        log.error(
            "{} at {}: {}; restarting as an empty replica", damage.path, damage.offset, damage.why
        )
        self.journal.add(SetAside(path=damage.path, why=damage.why))
        self.identity = None
        return await self.store.discard_replica()

    async def _run_replica(self, *, recovered: Recovered) -> None:
        self._disk_failed.clear()
        self.waits_for = ""
        self.journal.add(Started(replica=recovered.identity.replica))
        self.task = ReplicaTask(
            ports=self.ports,
            store=self.store,
            transport=self.transport,
            journal=self.journal,
            recovered=recovered,
            own_address=self.own_address,
            on_applied=self._on_applied,
            on_role=self._on_role,
            on_error=self._on_disk_error,
            voters=voters_of(settings=self.settings),
        )
        self.lease_service = LeaseService(
            ports=self.ports,
            transport=self.transport,
            journal=self.journal,
            task=self.task,
            own_address=self.own_address,
            tolerance=self.bounds.tolerance,
        )
        self.rollout_service = RolloutService(
            ports=self.ports,
            transport=self.transport,
            journal=self.journal,
            task=self.task,
            lease_service=self.lease_service,
            bounds=self.bounds,
        )
        await self._disk_failed.wait()
        self.task.stop()
        self.task, self.lease_service, self.rollout_service = None, None, None
        await self.ports.clock.sleep(us=RESTART_DELAY_US)

    def _on_applied(self, outcome: object, index: int) -> None:
        if self.lease_service is not None:
            self.lease_service.announce_latest_epoch()
        if self.rollout_service is not None:
            self.rollout_service.on_applied()

    def _on_role(self, role: str) -> None:
        if role != raft.LEADER or self.lease_service is None or self.rollout_service is None:
            return
        self.lease_service.begin_leadership()
        self.rollout_service.begin_leadership()

    def _on_disk_error(self, error: KelpstageError) -> None:
        self._report_disk_error(error=error)
        self._disk_failed.set()

    def _report_disk_error(self, *, error: Any) -> None:
        waits_for = f"the disk ({error.kind}: {error.why})"
        if self.waits_for != waits_for:
            log.error("disk: {} {} {}", error.path, getattr(error, "op", ""), error.why)
        self.waits_for = waits_for
        self.journal.add(DiskFailed(path=error.path, op=getattr(error, "op", ""), why=error.why))

    def seed_state(self) -> SeedState:
        """The state that this core reports to a core that is bootstrapping."""
        identity = self.identity or DiskIdentity()
        if identity.cluster and self.task is None:
            identity = DiskIdentity()  # replica not started: reported as neither empty nor a member
        members: list[CoreMember] = []
        if self.task is not None:
            replica = self.task.raft
            members = replica.members.at(index=replica.commit_index)
        return SeedState(
            replica=identity.replica,
            address=self.own_address,
            http=self.http,
            is_empty=bool(identity.replica) and not identity.cluster,
            cluster=identity.cluster,
            leader_address=self.task.leader_address if self.task else "",
            members=members,
            only_joins=not self.bounds.is_first_start,
        )

    async def _probe_seeds(self) -> list[SeedState | KelpstageError]:
        me = self.identity.replica if self.identity else ""

        async def probe(seed: str) -> SeedState | KelpstageError:
            if seed == self.own_address:
                return self.seed_state()
            reply: SeedState | KelpstageError = await self.transport.call(
                address=seed, message=SeedProbe(replica=me), wait_us=SEED_PROBE_TIMEOUT_US
            )
            return reply

        states = await asyncio.gather(*(probe(seed) for seed in self.seeds))
        # A seed that has not read its disk yet is neither empty nor a member: left out.
        return [state for state in states if isinstance(state, KelpstageError) or state.replica]

    async def _found_or_join(self) -> Recovered | None | KelpstageError:
        states = await self._probe_seeds()
        identity = self.identity
        if identity is None or identity.cluster:
            return None
        step = decide_bootstrap(
            me=identity.replica, own_address=self.own_address, seeds=self.seeds, states=states
        )
        if isinstance(step, WaitForSeeds):
            self.waits_for = step.why
            return None
        if isinstance(step, JoinCluster):
            self.journal.add(JoinedCluster(cluster=step.cluster))
            if step.members:
                return await self._become_founding_member(
                    identity, cluster=step.cluster, members=step.members
                )
            return await self._become_member(identity, cluster=step.cluster)
        cluster = f"{self.ports.rand.getrandbits(64):016x}"
        self.journal.add(Founded(cluster=cluster))
        return await self._become_founding_member(identity, cluster=cluster, members=step.members)

    async def _become_founding_member(
        self, empty_identity: DiskIdentity, *, cluster: str, members: list[CoreMember]
    ) -> KelpstageError | None:
        """Become a founding member of a new cluster, starting from its founding snapshot."""
        snapshot = founding_snapshot(cluster=cluster, members=members)
        return await self._become_member(empty_identity, cluster=cluster, snapshot=snapshot)

    async def _become_member(
        self, empty_identity: DiskIdentity, *, cluster: str, snapshot: DiskSnapshot | None = None
    ) -> KelpstageError | None:
        """Become a member of a cluster, starting from `snapshot` if there is one."""
        identity = DiskIdentity(replica=empty_identity.replica, cluster=cluster)
        term = FOUNDING_TERM if snapshot else 0
        error = await self.store.initialize_member(identity=identity, snapshot=snapshot, term=term)
        if error is None:
            self.identity = identity
        return error

    def reload_settings(self, *, settings: dict[str, Any]) -> None:
        """Apply the settings that may change while a core runs: the seeds."""
        self.seeds = list(settings["seeds"])
        self.settings = self.settings | {"seeds": self.seeds}

    def add_edge_contact(self, *, contact: EdgeContact) -> None:
        """Record the contact of an edge."""
        self._edge_contacts.record(contact=contact)

    def sample_edge_contacts(self) -> list[EdgeContact]:
        """Contacts through which an edge can find the others."""
        return self._edge_contacts.sample()

    def core_addresses(self) -> list[str]:
        """Addresses of all members of the cluster; empty while no replica runs."""
        return [member.address for member in self.task.raft.members.current] if self.task else []

    async def stop(self) -> None:
        """Stop as planned: leave the cluster gracefully if time allows, then close."""
        self.is_stopping = True
        task = self.task
        if task is not None:
            leaving = GracefulLeave(
                task=task,
                transport=self.transport,
                clock=self.ports.clock,
                limit_us=int(self.bounds.grace_us * LEAVE_FRACTION),
            )
            outcome = await leaving.run()
            self.journal.add(
                LeaveEnded(
                    state=outcome.state.name,
                    losses_borne=outcome.losses_borne,
                    losses_wanted=outcome.losses_wanted,
                )
            )
        self.server.close()
        for listener in (self._http_listener, self._metrics_listener):
            if listener is not None:
                listener.close()
        self.transport.close()
