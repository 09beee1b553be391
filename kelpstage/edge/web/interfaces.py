"""What the HTTP interfaces of an edge need of it."""

from __future__ import annotations

from collections import Counter
from typing import Any, Protocol

from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.common.recording.writer import DayWriter
from kelpstage.common.transport.connections import Transport
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.forward.headers import HeaderNames
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.task import GatherTask
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.task import LeaseTask
from kelpstage.edge.timelines import Timelines
from kelpstage.edge.views import Searches


class ReplyingEdge(Protocol):
    """What a reply to a forwarded request is made with."""

    names: HeaderNames
    counts: Counter[str]
    is_leaving: bool


class GatheringEdge(ReplyingEdge, Protocol):
    """What it takes to have a request gathered or forwarded."""

    name: str
    incarnation: int
    ports: Ports
    lease_holder: LeaseHolder
    gather: GatherTask


class ReportingEdge(GatheringEdge, Protocol):
    """What the plan and the status are read from."""

    zone: str
    transport: Transport
    swim: Swim
    registry: BackendRegistry
    gather_context: GatherContext
    leases: LeaseTask
    journal: Journal
    searches: Searches
    timelines: Timelines

    def refusal(self) -> str:
        """Why this edge is not ready; empty if it is."""


class CallerEdge(ReportingEdge, Protocol):
    """What callers' requests are answered with."""

    day: DayWriter | None


class ServeCall(Protocol):
    """Answers the calls at an edge's own HTTP interface."""

    async def __call__(self, *, edge: Any, call: HttpCall) -> HttpReply:
        """Answer one call."""
