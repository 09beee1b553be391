"""Builds the passive parts of an edge from its settings; starts no task or connection."""

from __future__ import annotations

from typing import Any

from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport.messages import EdgeContact, MemberMsg
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.backend.zones import ZoneDistances
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.latency import LatencyEstimates
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.retries.budget import SERVICE_SLACK, WINDOW_US, Budget

ATTEMPT_NUMBER_BITS = 40  # attempt numbers start at a random number of this size


def build_zone_distances(*, settings: dict[str, Any]) -> ZoneDistances:
    """The distances from this edge's zone to the others."""
    bounds = settings.get("bounds", {})
    return ZoneDistances(
        zone=settings["domain"], region=bounds.get("region", ""), zones=bounds.get("zones", {})
    )


def build_swim(*, settings: dict[str, Any], ports: Ports, incarnation: int) -> Swim:
    """The gossip state of this edge, with no peers yet."""
    return Swim(
        me=MemberMsg(
            name=settings["name"],
            address=settings["own"],
            incarnation=incarnation,
            beat=1,
            zone=settings["domain"],
            http=settings["http"],
        ),
        rand=ports.rand,
        backend_states=lambda: [],
        on_backend_state=lambda backend_state: None,
    )


def build_contact(*, settings: dict[str, Any], incarnation: int) -> EdgeContact:
    """The contact of this edge that cores send to other edges."""
    return EdgeContact(
        name=settings["name"],
        address=settings["own"],
        zone=settings["domain"],
        http=settings["http"],
        incarnation=incarnation,
    )


def build_budget(*, settings: dict[str, Any], ports: Ports) -> Budget:
    """The retry budget of this edge."""
    bounds = settings.get("bounds", {})
    return Budget(
        ratio=bounds.get("retry_ratio"),
        window_us=bounds.get("retry_window_us", WINDOW_US),
        slack=bounds.get("retry_slack", SERVICE_SLACK),
        me=settings["name"],
        started_us=ports.clock.now_us(),
    )


def build_gather_context(
    *,
    settings: dict[str, Any],
    ports: Ports,
    lease_holder: LeaseHolder,
    swim: Swim,
    registry: BackendRegistry,
    journal: Journal,
    trace: Journal,
) -> GatherContext:
    """The state of this edge that the stages of a request use."""
    return GatherContext(
        me=settings["name"],
        zone=settings["domain"],
        own=settings["own"],
        rand=ports.rand,
        lease_holder=lease_holder,
        swim=swim,
        registry=registry,
        latencies=LatencyEstimates(),
        budget=build_budget(settings=settings, ports=ports),
        journal=journal,
        trace=trace,
        next_attempt=ports.rand.getrandbits(ATTEMPT_NUMBER_BITS),
        regions=settings.get("bounds", {}).get("zones", {}),
    )
