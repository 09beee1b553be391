"""Defects: every failure has a type, and the type says how a caller hears of it.

>>> UnknownCollection(collection="x").as_json()
{'kind': 'unknown_collection', 'collection': 'x'}
"""

from __future__ import annotations

import re
from dataclasses import asdict, dataclass, field
from typing import ClassVar


def tag_of(*, name: str) -> str:
    """Turn a class name into the tag callers see.

    >>> tag_of(name="QuorumNotMet")
    'quorum_not_met'
    """
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


@dataclass(frozen=True, kw_only=True)
class Defect:
    """The root of all failures; `status` is what an HTTP caller gets.

    >>> Defect().kind
    'defect'
    """

    status: ClassVar[int] = 500
    retry_after_s: ClassVar[int | None] = None

    @property
    def kind(self) -> str:
        return tag_of(name=type(self).__name__)

    def as_json(self) -> dict:
        return {"kind": self.kind, **asdict(self)}


# --- what a caller did -------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class BadRequest(Defect):
    status: ClassVar[int] = 400
    part: str
    why: str


@dataclass(frozen=True, kw_only=True)
class MissingTimeLeft(Defect):
    status: ClassVar[int] = 400
    header: str


@dataclass(frozen=True, kw_only=True)
class BadTimeLeft(Defect):
    status: ClassVar[int] = 400
    header: str
    given: str
    why: str


@dataclass(frozen=True, kw_only=True)
class BadLimit(Defect):
    status: ClassVar[int] = 400
    given: str
    why: str


@dataclass(frozen=True, kw_only=True)
class OversizedBody(Defect):
    status: ClassVar[int] = 413
    limit_bytes: int


@dataclass(frozen=True, kw_only=True)
class OversizedHead(Defect):
    status: ClassVar[int] = 431
    limit_bytes: int


@dataclass(frozen=True, kw_only=True)
class SlowRequest(Defect):
    """A request that was begun and did not come whole in time; it has not run."""

    status: ClassVar[int] = 408
    part: str
    after_us: int


@dataclass(frozen=True, kw_only=True)
class BrokenHandler(Defect):
    """A fault of ours; nothing is said of what the call has done."""

    why: str


@dataclass(frozen=True, kw_only=True)
class UnknownResource(Defect):
    status: ClassVar[int] = 404
    path: str


@dataclass(frozen=True, kw_only=True)
class WrongMethod(Defect):
    status: ClassVar[int] = 405
    method: str
    allowed: str


@dataclass(frozen=True, kw_only=True)
class UnknownCollection(Defect):
    status: ClassVar[int] = 404
    collection: str


@dataclass(frozen=True, kw_only=True)
class UnknownShard(Defect):
    status: ClassVar[int] = 404
    collection: str
    shard: str


@dataclass(frozen=True, kw_only=True)
class NoSuchRecord(Defect):
    status: ClassVar[int] = 404
    collection: str
    shard: str
    record: str


@dataclass(frozen=True, kw_only=True)
class UnknownSearch(Defect):
    """Never begun at this node, or forgotten: only the newest are kept."""

    status: ClassVar[int] = 404
    search: str


# --- what the fleet could not do ----------------------------------------------


@dataclass(frozen=True, kw_only=True)
class NotReady(Defect):
    status: ClassVar[int] = 503
    retry_after_s: ClassVar[int | None] = 1
    why: str


@dataclass(frozen=True, kw_only=True)
class Overloaded(Defect):
    status: ClassVar[int] = 503
    retry_after_s: ClassVar[int | None] = 1
    in_flight: int


@dataclass(frozen=True, kw_only=True)
class QuorumNotMet(Defect):
    status: ClassVar[int] = 503
    retry_after_s: ClassVar[int | None] = 1
    collection: str
    configuration: int
    shards_in: int
    quorum: int
    missing: list = field(default_factory=list)


@dataclass(frozen=True, kw_only=True)
class TimeLeftSpent(Defect):
    status: ClassVar[int] = 504
    retry_after_s: ClassVar[int | None] = 1
    where: str


@dataclass(frozen=True, kw_only=True)
class NoBackend(Defect):
    status: ClassVar[int] = 503
    retry_after_s: ClassVar[int | None] = 1
    shard: str
    why: str


@dataclass(frozen=True, kw_only=True)
class BackendLost(Defect):
    status: ClassVar[int] = 502
    retry_after_s: ClassVar[int | None] = 1
    backend: str
    cause: str


# --- lines, datagrams, HTTP -----------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class ConnectRefused(Defect):
    """Nothing reached the other side."""

    address: str


@dataclass(frozen=True, kw_only=True)
class LineLost(Defect):
    """The connection ended; the other side may have seen the message, unless
    `was_sent` is false: then nothing of it can have reached the other side."""

    address: str
    why: str = ""
    was_sent: bool = True


@dataclass(frozen=True, kw_only=True)
class WaitOver(Defect):
    """No answer in time; `was_sent` as at `LineLost`."""

    address: str
    after_us: int
    was_sent: bool = True


@dataclass(frozen=True, kw_only=True)
class BadFrame(Defect):
    address: str
    why: str


@dataclass(frozen=True, kw_only=True)
class WireMismatch(Defect):
    """The other side speaks another version of the own lines."""

    address: str
    ours: int
    theirs: int


@dataclass(frozen=True, kw_only=True)
class AddressTaken(Defect):
    address: str
    why: str


# --- what a backend did ----------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class BadReply(Defect):
    """A backend's reply that may not enter a body."""

    status: ClassVar[int] = 502
    retry_after_s: ClassVar[int | None] = 1
    backend: str
    part: str
    why: str


@dataclass(frozen=True, kw_only=True)
class NotRun(Defect):
    """The backend says that it did not run the request and never will."""

    status: ClassVar[int] = 503
    backend: str
    answer: int
    why: str


@dataclass(frozen=True, kw_only=True)
class BackendFailed(Defect):
    """The backend ran the request and answered with a failure."""

    status: ClassVar[int] = 502
    backend: str
    answer: int


# --- forwarding --------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class UnknownRoute(Defect):
    status: ClassVar[int] = 404
    host: str
    path: str


@dataclass(frozen=True, kw_only=True)
class MissingRequestId(Defect):
    status: ClassVar[int] = 400
    header: str


# --- operators ---------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class Fault(Defect):
    """One thing wrong in a configuration or env, with its path."""

    path: str
    why: str


@dataclass(frozen=True, kw_only=True)
class ConfigurationRefused(Defect):
    status: ClassVar[int] = 422
    faults: list

    def as_json(self) -> dict:
        return {"kind": self.kind, "faults": [{"path": f.path, "why": f.why} for f in self.faults]}


@dataclass(frozen=True, kw_only=True)
class MissingIfMatch(Defect):
    status: ClassVar[int] = 428
    why: str


@dataclass(frozen=True, kw_only=True)
class VersionMismatch(Defect):
    status: ClassVar[int] = 412
    expected: int
    current: int


@dataclass(frozen=True, kw_only=True)
class VersionNotAbove(Defect):
    """The version that a put was given is not above the one in force."""

    status: ClassVar[int] = 409
    version: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutIdReused(Defect):
    status: ClassVar[int] = 409
    put_id: str
    why: str


@dataclass(frozen=True, kw_only=True)
class UnknownPut(Defect):
    status: ClassVar[int] = 404
    put_id: str


@dataclass(frozen=True, kw_only=True)
class Unresolved(Defect):
    """In the log, or perhaps; ask again under the put id."""

    status: ClassVar[int] = 503
    retry_after_s: ClassVar[int | None] = 1
    put_id: str
    why: str


@dataclass(frozen=True, kw_only=True)
class NoEdgeMajority(Defect):
    status: ClassVar[int] = 503
    retry_after_s: ClassVar[int | None] = 2
    heard: int
    roster: int


@dataclass(frozen=True, kw_only=True)
class TooFewCores(Defect):
    """Fewer voters than it takes for a put to outlive the losses to be borne."""

    status: ClassVar[int] = 503
    retry_after_s: ClassVar[int | None] = 1
    voters: int
    needed: int


@dataclass(frozen=True, kw_only=True)
class NoLeader(Defect):
    status: ClassVar[int] = 503
    retry_after_s: ClassVar[int | None] = 1
    why: str


@dataclass(frozen=True, kw_only=True)
class NoConfiguration(Defect):
    status: ClassVar[int] = 404
    why: str


@dataclass(frozen=True, kw_only=True)
class UnknownEdge(Defect):
    status: ClassVar[int] = 404
    edge: str


@dataclass(frozen=True, kw_only=True)
class EdgeStillHere(Defect):
    """An edge that was heard of lately may not be removed as gone."""

    status: ClassVar[int] = 409
    edge: str
    heard_us_ago: int


@dataclass(frozen=True, kw_only=True)
class SalvageRefused(Defect):
    status: ClassVar[int] = 409
    why: str


# --- disk -----------------------------------------------------------------------------


@dataclass(frozen=True, kw_only=True)
class DiskDefect(Defect):
    status: ClassVar[int] = 503
    retry_after_s: ClassVar[int | None] = 2
    path: str
    op: str
    why: str


@dataclass(frozen=True, kw_only=True)
class LogDamaged(Defect):
    """A record that is not a torn tail fails its check."""

    path: str
    offset: int
    why: str


@dataclass(frozen=True, kw_only=True)
class FormatMismatch(Defect):
    """Whole files of another format: not damage, so nothing is set aside."""

    path: str
    ours: int
    theirs: int

    @property
    def why(self) -> str:
        return f"format {self.theirs}, this version reads {self.ours}"


@dataclass(frozen=True, kw_only=True)
class DayTorn(Defect):
    """A day's file ends in the middle of a record."""

    path: str
    offset: int


@dataclass(frozen=True, kw_only=True)
class DayForeign(Defect):
    """Not a day's file, or one of another format."""

    path: str
    offset: int
    why: str


@dataclass(frozen=True, kw_only=True)
class EnvRefused(Defect):
    faults: list

    def as_json(self) -> dict:
        return {"kind": self.kind, "faults": [{"path": f.path, "why": f.why} for f in self.faults]}
