"""Protocols for the attributes of an edge that its HTTP interfaces use."""

from __future__ import annotations

from collections import Counter
from typing import Any, Protocol

from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Ports
from kelpstage.common.recording.writer import RecordingWriter
from kelpstage.common.transport.connections import Transport
from kelpstage.edge.backend.registry import BackendRegistry
from kelpstage.edge.forward.headers import HeaderNames
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.task import GatherTask
from kelpstage.edge.gossip.swim import Swim
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.edge.lease.task import LeaseTask
from kelpstage.edge.timelines import Timelines
from kelpstage.edge.views import SearchStatistics


class ReplyingEdge(Protocol):
    """The attributes for replies to forwarded requests."""

    header_names: HeaderNames
    counts: Counter[str]
    is_leaving: bool


class GatheringEdge(ReplyingEdge, Protocol):
    """The attributes for gathering and forwarding requests."""

    name: str
    incarnation: int
    ports: Ports
    lease_holder: LeaseHolder
    gather: GatherTask


class ReportingEdge(GatheringEdge, Protocol):
    """The attributes that the plan, the status and the metrics are read from."""

    zone: str
    transport: Transport
    swim: Swim
    registry: BackendRegistry
    gather_context: GatherContext
    leases: LeaseTask
    journal: Journal
    searches: SearchStatistics
    timelines: Timelines

    def not_ready_reason(self) -> str:
        """The reason why this edge is not ready; empty if it is."""


class CallerEdge(ReportingEdge, Protocol):
    """The attributes for answering callers' requests."""

    recording_writer: RecordingWriter | None


class ServeCall(Protocol):
    """Answers the calls at an edge's HTTP interface for callers."""

    async def __call__(self, *, edge: Any, call: HttpCall) -> HttpReply:
        """Answer one call."""
