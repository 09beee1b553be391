"""The replicated state: configuration, membership, applied requests; changed by commands alone.

Plain and the same on every replica: the outcome of a command depends on the commands
before it and on nothing else. What became of an order is decided here and nowhere else,
so it outlives restarts, changes of leader, snapshots and lost disks with the log itself.
See `docs/notes/control/orders.md`.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Iterator, List

import betterproto as bp

from kelpstage.common.transport.delta import apply_delta, pack_delta
from kelpstage.common.transport.messages import StateDoc

RECORDS_KEPT = 512  # applied-request records of the newest orders taken, kept whole
REFUSALS_KEPT = 512  # applied-request records of the newest orders refused
DIGESTS_KEPT = 16_384  # orders taken before those: a part of the digest, and the version
DIGEST_PART = 16  # bytes
VERSION_BYTES = 8
ROW = DIGEST_PART + VERSION_BYTES
PACKED_FROM_BYTES = 512  # shorter documents travel as they are


@dataclass
class PutConfiguration(bp.Message):
    """An order: replace the document of version `expected` by this one."""

    put_id: str = bp.string_field(1)
    expected: int = bp.uint64_field(2)
    document: bytes = bp.bytes_field(3)
    version: int = bp.uint64_field(4)  # that the operator gives it; 0: the next one


@dataclass
class RefusePut(bp.Message):
    """Makes the refusal of an order final whose base version is still to come: a copy of
    it that arrives once that version is current must not be taken any more."""

    put_id: str = bp.string_field(1)
    digest: bytes = bp.bytes_field(2)
    expected: int = bp.uint64_field(3)
    version: int = bp.uint64_field(4)


@dataclass
class PutDelta(bp.Message):
    """A put whose document is told as its difference from the one that it replaces.

    `expected` names the base; with `has_base` false the document is only compressed.
    """

    put_id: str = bp.string_field(1)
    expected: int = bp.uint64_field(2)
    delta: bytes = bp.bytes_field(3)
    version: int = bp.uint64_field(4)  # that the operator gives it; 0: the next one
    digest: bytes = bp.bytes_field(5)  # of the whole put, as `put_digest` makes it
    has_base: bool = bp.bool_field(6)
    base_digest: bytes = bp.bytes_field(7)


Put = PutConfiguration | PutDelta | RefusePut


def version_of(*, put: Put) -> int:
    """The version that an order would bring.

    >>> [version_of(put=PutConfiguration(expected=4, version=version)) for version in (0, 9)]
    [5, 9]
    """
    return put.version or put.expected + 1


@dataclass
class AddEdge(bp.Message):
    """Edges join the membership."""

    edge: str = bp.string_field(1)
    more: List[str] = bp.string_field(2)  # that join together with it


@dataclass
class RemoveEdge(bp.Message):
    """An edge leaves the membership."""

    edge: str = bp.string_field(1)


@dataclass
class Command(bp.Message):
    """What one log entry does to the state."""

    put: PutConfiguration = bp.message_field(1, group="what")
    add: AddEdge = bp.message_field(2, group="what")
    remove: RemoveEdge = bp.message_field(3, group="what")
    put_delta: PutDelta = bp.message_field(4, group="what")
    refuse: RefusePut = bp.message_field(5, group="what")


@dataclass
class RequestRecord(bp.Message):
    """The applied-request record of one order: what it was, and what became of it."""

    put_id: str = bp.string_field(1)
    digest: bytes = bp.bytes_field(2)
    version: int = bp.uint64_field(3)
    epoch: int = bp.uint64_field(4)
    expected: int = bp.uint64_field(5)
    found: int = bp.uint64_field(6)
    asked: int = bp.uint64_field(7)  # the version that the operator gave it; 0: the next one


@dataclass
class CoreState(bp.Message):
    """The replicated state, as snapshots hold it."""

    cluster: str = bp.string_field(1)
    epoch: int = bp.uint64_field(2)
    version: int = bp.uint64_field(3)
    document: bytes = bp.bytes_field(4)
    membership: List[str] = bp.string_field(5)
    puts: List[RequestRecord] = bp.message_field(6)  # taken, oldest first
    old_membership: List[str] = bp.string_field(7)  # before the newest epoch, if it added several
    refused: List[RequestRecord] = bp.message_field(8)  # oldest first
    superseded: bytes = bp.bytes_field(9)  # rows of those taken before `puts`, oldest first
    forgotten_to: int = bp.uint64_field(10)  # up to this version, others may have been taken


@dataclass(frozen=True, kw_only=True)
class PutApplied:
    """The order was taken, as this version and epoch."""

    version: int
    epoch: int


@dataclass(frozen=True, kw_only=True)
class PutSuperseded:
    """Another version was in force: the put left no trace."""

    expected: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutNotAbove:
    """The version that the put was given is not above the one in force: no trace."""

    version: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutVersionTaken:
    """The put id was used before, for other bytes."""


@dataclass(frozen=True, kw_only=True)
class PutOutcomeUnknown:
    """Neither taken now nor refused: this log cannot tell what became of it."""

    why: str


@dataclass(frozen=True, kw_only=True)
class PutUnreadable:
    """The put's difference does not fit the version in force: no trace."""


@dataclass(frozen=True, kw_only=True)
class MembershipSet:
    """The membership of edges was changed, under this epoch."""

    epoch: int


def put_digest(*, document: bytes, expected: int, version: int = 0) -> bytes:
    """What tells a repeat of a put from another put. A version that is not stated is
    the one after the one that is replaced.

    >>> plain = put_digest(document=b"{}", expected=1)
    >>> len(plain), plain == put_digest(document=b"{}", expected=1, version=2)
    (32, True)
    >>> plain == put_digest(document=b"{}", expected=1, version=3)
    False
    """
    stated = b"" if version in (0, expected + 1) else b"\0version" + version.to_bytes(8, "big")
    return hashlib.sha256(expected.to_bytes(8, "big") + stated + document).digest()


def put_command(*, put: PutConfiguration, state: CoreState) -> Command:
    """The command for a put, as few bytes as there is an easy way to.

    A difference is taken from the document in force if the put replaces that one. That is
    safe: a version is given to one document only, and a put that finds another version in
    force is refused without a look at its document.

    >>> before = CoreState(version=1, document=b"0123456789abcdef" * 64)
    >>> put = PutConfiguration(put_id="p", expected=1, document=before.document + b"!")
    >>> len(bytes(put_command(put=put, state=before))) < 100
    True
    """
    if len(put.document) < PACKED_FROM_BYTES:
        return Command(put=put)
    base = state.document if put.expected == state.version else b""
    return Command(
        put_delta=PutDelta(
            put_id=put.put_id,
            expected=put.expected,
            delta=pack_delta(base=base, whole=put.document),
            version=put.version,
            digest=put_digest(document=put.document, expected=put.expected, version=put.version),
            has_base=bool(base),
            base_digest=document_digest(document=base) if base else b"",
        )
    )


def document_digest(*, document: bytes) -> bytes:
    """What names a document as the base of a difference.

    >>> len(document_digest(document=b"{}"))
    8
    """
    return hashlib.sha256(document).digest()[:8]


class Machine:
    """Applies commands.

    >>> machine = Machine(cluster="c")
    >>> put = Command(put=PutConfiguration(put_id="p", expected=0, document=b"{}"))
    >>> machine.apply(data=bytes(put))
    PutApplied(version=1, epoch=1)
    >>> late = Command(put=PutConfiguration(put_id="q", expected=0, document=b"[]"))
    >>> machine.apply(data=bytes(late))
    PutSuperseded(expected=0, current=1)
    >>> machine.apply(data=bytes(put))
    PutApplied(version=1, epoch=1)
    >>> put.put.put_id = "r"  # the same put under another id
    >>> machine.apply(data=bytes(put))
    PutApplied(version=1, epoch=1)
    >>> machine.apply(data=bytes(Command(put=PutConfiguration(put_id="s", expected=1, version=7))))
    PutApplied(version=7, epoch=2)
    >>> machine.apply(data=bytes(Command(put=PutConfiguration(put_id="t", expected=7, version=7))))
    PutNotAbove(version=7, current=7)
    """

    def __init__(self, *, cluster: str, state: CoreState | None = None) -> None:
        self.state = state or CoreState(cluster=cluster)
        self._records: dict[str, RequestRecord] = {}
        self._too_early: dict[tuple[str, bytes], RequestRecord] = {}
        for record in [*self.state.refused, *self.state.puts]:
            self._index(record=record)
        self._taken = {record.digest: record for record in self.state.puts}
        self._superseded = dict(read_rows(rows=self.state.superseded))

    def apply(self, *, data: bytes) -> object:
        """Apply one committed command; its outcome."""
        command = Command().parse(data)
        kind, body = bp.which_one_of(command, "what")
        if kind == "put":
            return self._put(put=body)
        if kind == "refuse":
            return self._refuse(put=body)
        if kind == "put_delta":
            return self._put_delta(put=body)
        if kind == "add":
            return self._set_membership(names=set(self.state.membership) | {body.edge, *body.more})
        return self._set_membership(names=set(self.state.membership) - {body.edge})

    def _put(self, *, put: PutConfiguration) -> object:
        digest = put_digest(document=put.document, expected=put.expected, version=put.version)
        decided = self.decided(put=put, digest=digest)
        return self._decide(put=put, digest=digest) if decided is None else decided

    def _put_delta(self, *, put: PutDelta) -> object:
        """The whole document is only needed where the put replaces the one in force."""
        decided = self.decided(put=put, digest=put.digest)
        if decided is not None:
            return decided
        document: bytes | None = b""
        if put.expected == self.state.version:
            document = self._document_of(put=put)
        if document is None:
            return PutUnreadable()
        whole = PutConfiguration(
            put_id=put.put_id, expected=put.expected, document=document, version=put.version
        )
        return self._decide(put=whole, digest=put.digest)

    def _document_of(self, *, put: PutDelta) -> bytes | None:
        """The document that a difference makes of the one in force, if it fits."""
        base = self.state.document if put.has_base else b""
        if put.has_base and document_digest(document=base) != put.base_digest:
            return None
        document = apply_delta(base=base, delta=put.delta)
        if document is None:
            return None
        digest = put_digest(document=document, expected=put.expected, version=put.version)
        return document if digest == put.digest else None

    def _decide(self, *, put: PutConfiguration, digest: bytes) -> object:
        record = self._record_of(put=put, digest=digest)
        version = version_of(put=put)
        if put.expected != self.state.version or version <= self.state.version:
            self._keep_refusal(record=record)
        else:
            self._take(record=record, version=version, document=put.document)
        return outcome_of(record=record)

    def _refuse(self, *, put: RefusePut) -> object:
        decided = self.decided(put=put, digest=put.digest)
        if decided is not None:
            return decided
        if put.expected <= self.state.version:
            return PutOutcomeUnknown(why="its base version has come meanwhile; ask again")
        record = self._record_of(put=put, digest=put.digest)
        self._keep_refusal(record=record)
        return outcome_of(record=record)

    def _record_of(self, *, put: PutConfiguration | RefusePut, digest: bytes) -> RequestRecord:
        return RequestRecord(
            put_id=put.put_id,
            digest=digest,
            expected=put.expected,
            found=self.state.version,
            asked=put.version,
        )

    def _take(self, *, record: RequestRecord, version: int, document: bytes) -> None:
        state = self.state
        state.version = version
        state.epoch += 1
        state.document = document
        state.old_membership = []
        record.version, record.epoch = state.version, state.epoch
        state.puts.append(record)
        self._index(record=record)
        self._taken[record.digest] = record
        while len(state.puts) > RECORDS_KEPT:
            self._shorten(record=state.puts.pop(0))

    def _shorten(self, *, record: RequestRecord) -> None:
        """Keep no more of an order that was taken than tells a repeat of it."""
        self._drop(record=record)
        state, part = self.state, record.digest[:DIGEST_PART]
        self._superseded[part] = record.version
        state.superseded += part + record.version.to_bytes(VERSION_BYTES, "big")
        while len(state.superseded) > DIGESTS_KEPT * ROW:
            part, version = next(read_rows(rows=state.superseded))
            state.superseded = state.superseded[ROW:]
            state.forgotten_to = version
            del self._superseded[part]

    def _keep_refusal(self, *, record: RequestRecord) -> None:
        """The oldest refusals go first. One whose base version is past would be refused
        again if it came again, so nothing hangs on its record."""
        self.state.refused.append(record)
        self._index(record=record)
        while len(self.state.refused) > REFUSALS_KEPT:
            self._drop(record=self.state.refused.pop(0))

    def _index(self, *, record: RequestRecord) -> None:
        if record.expected > record.found:
            # Refused before its base version was there: that claims no id.
            self._too_early[record.put_id, record.digest] = record
            return
        self._records[record.put_id] = record

    def _drop(self, *, record: RequestRecord) -> None:
        self._too_early.pop((record.put_id, record.digest), None)
        if self._records.get(record.put_id) is record:
            del self._records[record.put_id]
        if self._taken.get(record.digest) is record:
            del self._taken[record.digest]

    def _set_membership(self, *, names: set[str]) -> MembershipSet:
        state = self.state
        if names != set(state.membership):
            is_step = len(names ^ set(state.membership)) == 1
            state.epoch += 1
            state.old_membership = [] if is_step else state.membership
            state.membership = sorted(names)
        return MembershipSet(epoch=state.epoch)

    def record(self, *, put_id: str) -> RequestRecord | None:
        """The applied-request record of an order, if it is still kept whole."""
        return self._records.get(put_id)

    def decided(self, *, put: Put, digest: bytes) -> object | None:
        """What became of an order, if it was decided: of the one under its id, or of one
        with the same content under another id, if that was taken. An order that may have
        been taken where no record was kept gets `PutOutcomeUnknown`."""
        record = self._records.get(put.put_id)
        if record is not None and record.digest != digest:
            return PutVersionTaken()
        record = self._taken.get(digest) or record or self._too_early.get((put.put_id, digest))
        if record is not None:
            return outcome_of(record=record)
        version = self._superseded.get(digest[:DIGEST_PART])
        if version is not None:
            # Every epoch before the oldest kept whole was settled before that was taken.
            return PutApplied(version=version, epoch=self.state.puts[0].epoch)
        if version_of(put=put) <= self.state.forgotten_to:
            return self._found_without_record(put=put, digest=digest)
        return None

    def _found_without_record(self, *, put: Put, digest: bytes) -> object | None:
        """Only the order in force can be told by its content: what else was taken under
        its version or a lower one left no trace here."""
        state = self.state
        if version_of(put=put) != state.version:
            return PutOutcomeUnknown(why="too old to tell whether it was taken")
        in_force = put_digest(document=state.document, expected=put.expected, version=state.version)
        if digest == in_force:
            return PutApplied(version=state.version, epoch=state.epoch)
        return None

    def doc(self) -> StateDoc:
        """What edges install."""
        state = self.state
        return StateDoc(
            cluster=state.cluster,
            epoch=state.epoch,
            version=state.version,
            document=state.document,
            membership=list(state.membership),
        )


def adopt(*, state: CoreState, doc: StateDoc) -> None:
    """Take over what an edge has installed, which is newer than all that is known here.
    The orders between left no record, so none of them may be refused from now on.

    >>> state = CoreState(version=3)
    >>> adopt(state=state, doc=StateDoc(version=9, epoch=4, document=b"{}"))
    >>> state.version, state.forgotten_to
    (9, 9)
    """
    if doc.version > state.version:
        state.forgotten_to = doc.version
    state.version, state.document = doc.version, doc.document
    state.membership, state.epoch = list(doc.membership), doc.epoch
    state.old_membership = []


def read_rows(*, rows: bytes) -> Iterator[tuple[bytes, int]]:
    """The digest's part and the version of each superseded order, oldest first.

    >>> list(read_rows(rows=b"0123456789abcdef" + (7).to_bytes(8, "big")))
    [(b'0123456789abcdef', 7)]
    """
    for place in range(0, len(rows), ROW):
        part, version = rows[place : place + DIGEST_PART], rows[place + DIGEST_PART : place + ROW]
        yield part, int.from_bytes(version, "big")


def outcome_of(*, record: RequestRecord) -> PutApplied | PutSuperseded | PutNotAbove:
    """What became of an order that was decided.

    >>> outcome_of(record=RequestRecord(put_id="p", expected=3, found=4))
    PutSuperseded(expected=3, current=4)
    """
    if record.version:
        return PutApplied(version=record.version, epoch=record.epoch)
    if record.expected == record.found:
        return PutNotAbove(version=record.asked, current=record.found)
    return PutSuperseded(expected=record.expected, current=record.found)
