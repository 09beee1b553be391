"""The replicated state: blueprint, roster, puts; changed by commands alone.

Plain and the same on every replica: the outcome of a command depends on the
commands before it and on nothing else.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import List

import betterproto as bp

from kelpstage.base.wire.delta import apply_delta, pack_delta
from kelpstage.base.wire.messages import StateDoc

PUTS_KEPT = 512
PACKED_FROM_BYTES = 512  # shorter documents travel as they are


@dataclass
class PutBlueprint(bp.Message):
    put_id: str = bp.string_field(1)
    expected: int = bp.uint64_field(2)
    document: bytes = bp.bytes_field(3)
    version: int = bp.uint64_field(4)  # that the operator gives it; 0: the next one


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


@dataclass
class AddEdge(bp.Message):
    edge: str = bp.string_field(1)
    more: List[str] = bp.string_field(2)  # that join together with it


@dataclass
class RemoveEdge(bp.Message):
    edge: str = bp.string_field(1)


@dataclass
class Command(bp.Message):
    put: PutBlueprint = bp.message_field(1, group="what")
    add: AddEdge = bp.message_field(2, group="what")
    remove: RemoveEdge = bp.message_field(3, group="what")
    put_delta: PutDelta = bp.message_field(4, group="what")


@dataclass
class PutMemo(bp.Message):
    put_id: str = bp.string_field(1)
    digest: bytes = bp.bytes_field(2)
    version: int = bp.uint64_field(3)
    epoch: int = bp.uint64_field(4)
    expected: int = bp.uint64_field(5)
    found: int = bp.uint64_field(6)
    asked: int = bp.uint64_field(7)  # the version that the operator gave it; 0: the next one


@dataclass
class CoreState(bp.Message):
    cluster: str = bp.string_field(1)
    epoch: int = bp.uint64_field(2)
    version: int = bp.uint64_field(3)
    document: bytes = bp.bytes_field(4)
    roster: List[str] = bp.string_field(5)
    puts: List[PutMemo] = bp.message_field(6)
    old_roster: List[str] = bp.string_field(7)  # before the newest epoch, if it added several


@dataclass(frozen=True, kw_only=True)
class PutApplied:
    version: int
    epoch: int


@dataclass(frozen=True, kw_only=True)
class PutLost:
    """Another version was in force: the put left no trace."""

    expected: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutNotAbove:
    """The version that the put was given is not above the one in force: no trace."""

    version: int
    current: int


@dataclass(frozen=True, kw_only=True)
class PutClash:
    """The put id was used before, for other bytes."""


@dataclass(frozen=True, kw_only=True)
class PutUnreadable:
    """The put's difference does not fit the version in force: no trace."""


@dataclass(frozen=True, kw_only=True)
class RosterSet:
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


def put_command(*, put: PutBlueprint, state: CoreState) -> Command:
    """The command for a put, as few bytes as there is an easy way to.

    A difference is taken from the document in force if the put replaces that one. That is
    safe: a version is given to one document only, and a put that finds another version in
    force is refused without a look at its document.

    >>> before = CoreState(version=1, document=b"0123456789abcdef" * 64)
    >>> put = PutBlueprint(put_id="p", expected=1, document=before.document + b"!")
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
    >>> put = Command(put=PutBlueprint(put_id="p", expected=0, document=b"{}"))
    >>> machine.apply(data=bytes(put))
    PutApplied(version=1, epoch=1)
    >>> late = Command(put=PutBlueprint(put_id="q", expected=0, document=b"[]"))
    >>> machine.apply(data=bytes(late))
    PutLost(expected=0, current=1)
    >>> machine.apply(data=bytes(put))
    PutApplied(version=1, epoch=1)
    >>> put.put.put_id = "r"  # the same put under another id
    >>> machine.apply(data=bytes(put))
    PutApplied(version=1, epoch=1)
    >>> machine.apply(data=bytes(Command(put=PutBlueprint(put_id="s", expected=1, version=7))))
    PutApplied(version=7, epoch=2)
    >>> machine.apply(data=bytes(Command(put=PutBlueprint(put_id="t", expected=7, version=7))))
    PutNotAbove(version=7, current=7)
    """

    def __init__(self, *, cluster: str, state: CoreState | None = None) -> None:
        self.state = state or CoreState(cluster=cluster)
        self._memos = {memo.put_id: memo for memo in self.state.puts}
        self._taken = {memo.digest: memo for memo in self.state.puts if memo.version}

    def apply(self, *, data: bytes) -> object:
        command = Command().parse(data)
        kind, body = bp.which_one_of(command, "what")
        if kind == "put":
            return self._put(put=body)
        if kind == "put_delta":
            return self._put_delta(put=body)
        if kind == "add":
            return self._set_roster(names=set(self.state.roster) | {body.edge, *body.more})
        return self._set_roster(names=set(self.state.roster) - {body.edge})

    def _put(self, *, put: PutBlueprint) -> object:
        digest = put_digest(document=put.document, expected=put.expected, version=put.version)
        decided = self.decided(put_id=put.put_id, digest=digest)
        return self._decide(put=put, digest=digest) if decided is None else decided

    def _put_delta(self, *, put: PutDelta) -> object:
        """The whole document is only needed where the put replaces the one in force."""
        decided = self.decided(put_id=put.put_id, digest=put.digest)
        if decided is not None:
            return decided
        document: bytes | None = b""
        if put.expected == self.state.version:
            document = self._document_of(put=put)
        if document is None:
            return PutUnreadable()
        whole = PutBlueprint(
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

    def _decide(self, *, put: PutBlueprint, digest: bytes) -> object:
        state = self.state
        memo = PutMemo(
            put_id=put.put_id,
            digest=digest,
            expected=put.expected,
            found=state.version,
            asked=put.version,
        )
        version = put.version or put.expected + 1
        if put.expected == state.version and version > state.version:
            state.version = version
            state.epoch += 1
            state.document = put.document
            state.old_roster = []
            memo.version, memo.epoch = state.version, state.epoch
            self._taken[digest] = memo
        state.puts.append(memo)
        self._memos[memo.put_id] = memo
        self._forget()
        return outcome_of(memo=memo)

    def _forget(self) -> None:
        """Drop the oldest memos, but never that of the version in force."""
        puts = self.state.puts
        while len(puts) > PUTS_KEPT:
            place = 1 if puts[0].version == self.state.version else 0
            memo = puts.pop(place)
            if self._memos.get(memo.put_id) is memo:
                del self._memos[memo.put_id]
            if self._taken.get(memo.digest) is memo:
                del self._taken[memo.digest]

    def _set_roster(self, *, names: set[str]) -> RosterSet:
        state = self.state
        if names != set(state.roster):
            is_step = len(names ^ set(state.roster)) == 1
            state.epoch += 1
            state.old_roster = [] if is_step else state.roster
            state.roster = sorted(names)
        return RosterSet(epoch=state.epoch)

    def memo(self, *, put_id: str) -> PutMemo | None:
        return self._memos.get(put_id)

    def decided(self, *, put_id: str, digest: bytes) -> object | None:
        """What became of a put, if it was decided: of the one under its id, or of one
        with the same content under another id, if that was taken."""
        memo = self._memos.get(put_id)
        if memo is not None and memo.digest != digest:
            return PutClash()
        memo = self._taken.get(digest) or memo
        return None if memo is None else outcome_of(memo=memo)

    def doc(self) -> StateDoc:
        """What edges install."""
        state = self.state
        return StateDoc(
            cluster=state.cluster,
            epoch=state.epoch,
            version=state.version,
            document=state.document,
            roster=list(state.roster),
        )


def outcome_of(*, memo: PutMemo) -> PutApplied | PutLost | PutNotAbove:
    """What became of a put that was decided.

    >>> outcome_of(memo=PutMemo(put_id="p", expected=3, found=4))
    PutLost(expected=3, current=4)
    """
    if memo.version:
        return PutApplied(version=memo.version, epoch=memo.epoch)
    if memo.expected == memo.found:
        return PutNotAbove(version=memo.asked, current=memo.found)
    return PutLost(expected=memo.expected, current=memo.found)
