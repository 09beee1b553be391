"""The replicated state machine: configuration, edge membership and applied requests.

It is the same on every replica: the outcome of a command depends only on the commands before
it. Write outcomes are decided only here, so they survive restarts, leader changes, snapshots
and lost disks together with the log.
See `docs/notes/control/orders.md`.
"""

from __future__ import annotations

import betterproto as bp

from kelpstage.common.transport.delta import apply_delta
from kelpstage.common.transport.messages import StateDoc
from kelpstage.core.state.commands import (
    AddEdge,
    Command,
    Put,
    PutConfiguration,
    PutDelta,
    RefusePut,
    RemoveEdge,
    version_of,
)
from kelpstage.core.state.digests import document_digest, put_digest
from kelpstage.core.state.outcomes import (
    MembershipSet,
    PutApplied,
    PutDeltaMismatch,
    PutIdTaken,
    PutOutcome,
    PutOutcomeUnknown,
    RolloutOutcome,
    outcome_of,
)
from kelpstage.core.state.replicated_state import (
    DIGEST_PREFIX_BYTES,
    DIGEST_ROW_BYTES,
    VERSION_BYTES,
    CoreState,
    RequestRecord,
    read_digest_rows,
)
from kelpstage.core.state.rollouts import begin_rollout, change_rollout

RECORDS_KEPT = 512  # complete records of the newest applied writes
REFUSALS_KEPT = 512  # complete records of the newest refused writes
DIGESTS_KEPT = 16_384  # older applied writes, as digest prefix and version


class Machine:
    """The state machine: applies committed commands in log order.

    Deterministic: no clock, no randomness, no I/O. A snapshot holds `state`; the other
    attributes are indexes that are rebuilt from it.

    >>> machine = Machine(cluster="c")
    >>> put = Command(put=PutConfiguration(put_id="p", expected=0, document=b"{}"))
    >>> machine.apply(data=bytes(put))
    PutApplied(version=1, epoch=1)
    >>> late = Command(put=PutConfiguration(put_id="q", expected=0, document=b"[]"))
    >>> machine.apply(data=bytes(late))
    PutSuperseded(expected=0, current=1)
    >>> machine.apply(data=bytes(put))
    PutApplied(version=1, epoch=1)
    >>> put.put.put_id = "r"  # the same write under another id
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
        self._early_refusals: dict[tuple[str, bytes], RequestRecord] = {}
        for record in [*self.state.refused, *self.state.puts]:
            self._add_to_index(record=record)
        self._applied_by_digest = {record.digest: record for record in self.state.puts}
        self._compacted_versions = dict(read_digest_rows(rows=self.state.superseded))

    def apply(self, *, data: bytes) -> PutOutcome | MembershipSet | RolloutOutcome:
        """Apply one committed command, a serialized `Command`, and return its outcome."""
        command = Command().parse(data)
        kind, body = bp.which_one_of(command, "what")
        if kind == "put":
            return self._put(put=body)
        if kind == "refuse":
            return self._refuse(put=body)
        if kind == "put_delta":
            return self._put_delta(put=body)
        if kind == "add":
            return self._add_edges(add=body)
        if kind == "begin_rollout":
            return begin_rollout(state=self.state, order=body)
        if kind == "change_rollout":
            return change_rollout(state=self.state, change=body)
        return self._remove_edge(remove=body)

    def _put(self, *, put: PutConfiguration) -> PutOutcome:
        digest = put_digest(document=put.document, expected=put.expected, version=put.version)
        decided = self.decided(put=put, digest=digest)
        return self._decide(put=put, digest=digest) if decided is None else decided

    def _put_delta(self, *, put: PutDelta) -> PutOutcome:
        """Apply a delta write; only one that replaces the current document is decoded."""
        decided = self.decided(put=put, digest=put.digest)
        if decided is not None:
            return decided
        document: bytes | None = b""
        if put.expected == self.state.version:
            document = self._decode_document(put=put)
        if document is None:
            return PutDeltaMismatch()
        complete = PutConfiguration(
            put_id=put.put_id, expected=put.expected, document=document, version=put.version
        )
        return self._decide(put=complete, digest=put.digest)

    def _decode_document(self, *, put: PutDelta) -> bytes | None:
        """Decode the document of a write; None if its delta does not match the current one."""
        base = self.state.document if put.has_base else b""
        if put.has_base and document_digest(document=base) != put.base_digest:
            return None
        document = apply_delta(base=base, delta=put.delta)
        if document is None:
            return None
        digest = put_digest(document=document, expected=put.expected, version=put.version)
        return document if digest == put.digest else None

    def _decide(self, *, put: PutConfiguration, digest: bytes) -> PutOutcome:
        record = self._new_record(put=put, digest=digest)
        version = version_of(put=put)
        if put.expected != self.state.version or version <= self.state.version:
            self._record_refusal(record=record)
        else:
            self._apply_write(record=record, version=version, document=put.document)
        return outcome_of(record=record)

    def _refuse(self, *, put: RefusePut) -> PutOutcome:
        decided = self.decided(put=put, digest=put.digest)
        if decided is not None:
            return decided
        if put.expected <= self.state.version:
            return PutOutcomeUnknown(why="its base version exists by now; retry")
        record = self._new_record(put=put, digest=put.digest)
        self._record_refusal(record=record)
        return outcome_of(record=record)

    def _new_record(self, *, put: PutConfiguration | RefusePut, digest: bytes) -> RequestRecord:
        return RequestRecord(
            put_id=put.put_id,
            digest=digest,
            expected=put.expected,
            found=self.state.version,
            asked=put.version,
        )

    def _apply_write(self, *, record: RequestRecord, version: int, document: bytes) -> None:
        state = self.state
        state.version = version
        state.epoch += 1
        state.document = document
        state.old_membership, state.old_observers = [], []
        record.version, record.epoch = state.version, state.epoch
        state.puts.append(record)
        self._add_to_index(record=record)
        self._applied_by_digest[record.digest] = record
        while len(state.puts) > RECORDS_KEPT:
            self._compact(record=state.puts.pop(0))

    def _compact(self, *, record: RequestRecord) -> None:
        """Replace an applied write's record by its digest prefix and version.

        They are enough to recognize a retry.
        """
        self._remove_from_index(record=record)
        state, prefix = self.state, record.digest[:DIGEST_PREFIX_BYTES]
        self._compacted_versions[prefix] = record.version
        state.superseded += prefix + record.version.to_bytes(VERSION_BYTES, "big")
        while len(state.superseded) > DIGESTS_KEPT * DIGEST_ROW_BYTES:
            oldest_prefix, oldest_version = next(read_digest_rows(rows=state.superseded))
            state.superseded = state.superseded[DIGEST_ROW_BYTES:]
            state.forgotten_to = oldest_version
            del self._compacted_versions[oldest_prefix]

    def _record_refusal(self, *, record: RequestRecord) -> None:
        """Record a rejected write, and evict the oldest such records beyond the limit.

        A write whose base version is past would be rejected again, so evicting its record is
        safe.
        """
        self.state.refused.append(record)
        self._add_to_index(record=record)
        while len(self.state.refused) > REFUSALS_KEPT:
            self._remove_from_index(record=self.state.refused.pop(0))

    def _add_to_index(self, *, record: RequestRecord) -> None:
        if record.expected > record.found:
            # Rejected before its base version existed: its id stays available to other writes.
            self._early_refusals[record.put_id, record.digest] = record
            return
        self._records[record.put_id] = record

    def _remove_from_index(self, *, record: RequestRecord) -> None:
        self._early_refusals.pop((record.put_id, record.digest), None)
        if self._records.get(record.put_id) is record:
            del self._records[record.put_id]
        if self._applied_by_digest.get(record.digest) is record:
            del self._applied_by_digest[record.digest]

    def _add_edges(self, *, add: AddEdge) -> MembershipSet:
        joining = {add.edge, *add.more}
        observers = set(self.state.observers) - joining | joining & set(add.observers)
        return self._set_membership(
            names=set(self.state.membership) | joining, observers=observers, is_joint=add.is_joint
        )

    def _remove_edge(self, *, remove: RemoveEdge) -> MembershipSet:
        state = self.state
        return self._set_membership(
            names=set(state.membership) - {remove.edge},
            observers=set(state.observers) - {remove.edge},
            is_joint=remove.is_joint,
        )

    def _set_membership(
        self, *, names: set[str], observers: set[str], is_joint: bool
    ) -> MembershipSet:
        """Set the membership. A change of several edges is always joint; a change of a single
        edge is not joint in logs of older software versions."""
        state = self.state
        before = set(state.membership)
        if names == before and observers == set(state.observers):
            return MembershipSet(epoch=state.epoch)
        is_kept = is_joint or len(names ^ before) != 1
        state.epoch += 1
        state.old_membership = list(state.membership) if is_kept else []
        state.old_observers = list(state.observers) if is_kept else []
        state.membership, state.observers = sorted(names), sorted(observers)
        return MembershipSet(epoch=state.epoch)

    def record(self, *, put_id: str) -> RequestRecord | None:
        """The complete record of a write; None if it was compacted, evicted or never made."""
        return self._records.get(put_id)

    def decided(self, *, put: Put, digest: bytes) -> PutOutcome | None:
        """The outcome of a write that was decided before; None if it was not decided.

        A write is recognized by its id, or by its digest if the same content was applied
        under another id. A write that may have been applied, but has no record, gets
        `PutOutcomeUnknown`.
        """
        record = self._records.get(put.put_id)
        if record is not None and record.digest != digest:
            return PutIdTaken()
        record = (
            self._applied_by_digest.get(digest)
            or record
            or self._early_refusals.get((put.put_id, digest))
        )
        if record is not None:
            return outcome_of(record=record)
        version = self._compacted_versions.get(digest[:DIGEST_PREFIX_BYTES])
        if version is not None:
            # Every epoch before the oldest complete record was settled before that write was
            # applied.
            return PutApplied(version=version, epoch=self.state.puts[0].epoch)
        if version_of(put=put) <= self.state.forgotten_to:
            return self._outcome_without_record(put=put, digest=digest)
        return None

    def _outcome_without_record(self, *, put: Put, digest: bytes) -> PutOutcome | None:
        """The outcome of a write whose version may have been applied without a record here.

        Only the current write can be recognized by its content. Others that were applied under
        the same version or a lower one left no record.
        """
        state = self.state
        if version_of(put=put) != state.version:
            return PutOutcomeUnknown(why="too old to tell whether it was applied")
        in_force = put_digest(document=state.document, expected=put.expected, version=state.version)
        if digest == in_force:
            return PutApplied(version=state.version, epoch=state.epoch)
        return None

    def doc(self) -> StateDoc:
        """The part of the state that edges install."""
        state = self.state
        return StateDoc(
            cluster=state.cluster,
            epoch=state.epoch,
            version=state.version,
            document=state.document,
            membership=list(state.membership),
            observers=list(state.observers),
            rollouts=list(state.rollouts),
        )
