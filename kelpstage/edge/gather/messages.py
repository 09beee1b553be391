"""Events that the gathering takes in, effects that it gives out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpstage.common.errors.base import KelpstageError
from kelpstage.edge.gather.request_state import RequestState

# --- events ---------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class Arrived:
    """A request came in; its record is to be put in the table."""

    record: RequestState


@dataclass(frozen=True, kw_only=True)
class Resumed:
    """The root wants what a child left out, now that it is below its quorum."""

    key: int


@dataclass(frozen=True, kw_only=True)
class CallerGone:
    """Nobody waits for a request's outcome any more.

    Nothing more is sent for it. What is on its way is cancelled, but for an attempt that
    may run at most once: that one goes on to its end.
    """

    key: int


@dataclass(frozen=True, kw_only=True)
class BackendReplied:
    """A backend's reply to one attempt, or the error that ended it."""

    key: int
    generation: int
    shard: str
    number: int
    backend: str
    sent_us: int
    outcome: Any


@dataclass(frozen=True, kw_only=True)
class ChildReplied:
    """A child's reply, or the error that ended its query."""

    key: int
    generation: int
    slot: int
    node: str
    sent_us: int
    outcome: Any


@dataclass(frozen=True, kw_only=True)
class TimerFired:
    """The time has come at which a request wants to be looked at."""


@dataclass(frozen=True, kw_only=True)
class ConfigurationMoved:
    """Another configuration is in force on this node."""


# --- effects ----------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class QueryBackend:
    """Send one attempt to a backend; `BackendReplied` follows."""

    record: RequestState
    generation: int
    shard: str
    cut: str
    number: int
    backend: str
    address: str
    wait_us: int
    connection_limit: int = 0


@dataclass(frozen=True, kw_only=True)
class QueryChild:
    """Ask a child for its subtree; `ChildReplied` follows."""

    record: RequestState
    generation: int
    slot: int
    node: str
    address: str
    wait_us: int
    ask_id: int
    is_resumed: bool


@dataclass(frozen=True, kw_only=True)
class PartlySettled:
    """A child's window is over: what it has goes up, the rest stays on its way."""

    record: RequestState
    outcome: Any


@dataclass(frozen=True, kw_only=True)
class WantState:
    """A newer configuration is known of; fetch it, from there if it can be had."""

    version: int
    source: str


@dataclass(frozen=True, kw_only=True)
class Settled:
    """A request has its outcome and has left the table."""

    record: RequestState


# --- outcomes ---------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class GatherResult:
    """A search's or a fetch's good end."""

    version: int
    coverage: float
    shards: int
    body: bytes
    seals: tuple[str, ...] = ()
    missing: int = 0
    backend_reply: Any = None  # a backend's answer, to go back as it came


@dataclass(frozen=True, kw_only=True)
class ChildReply:
    """What a child passes up."""

    message: Any


Outcome = GatherResult | ChildReply | KelpstageError
