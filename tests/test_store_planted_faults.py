"""Plants faults in the store, one at a time, and checks that the disk tests detect each."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from kelpstage.common.errors.base import KelpstageError
from kelpstage.core.store import records, recovery
from kelpstage.core.store import store as store_module
from kelpstage.core.store.layout import IDENTITY_PATH, LOG_FOLDER, ROOT, SNAPSHOT_FOLDER
from kelpstage.core.store.records import DiskIdentity, DiskSnapshot, Segment
from kelpstage.core.store.store import Store
from kelpstage.testbed.simulation.disk import SimDisk
from tests import test_cores_power_loss, test_store_power_loss

EVERY_CHANGE = ("PowerLoss", "test_power_loss_before_every_disk_change")
DISCARDING = ("Membership", "test_discarding_a_replica_is_atomic")
FOUNDING = ("Membership", "test_interrupted_founding_completes_or_restarts")
SURVIVOR = ("Membership", "test_recovery_from_a_survivor_is_atomic")
REMOVED = ("PowerLoss", "test_deleted_segments_that_reappear_are_ignored")
REPORTS = ("Reports", "test_nothing_is_reported_before_it_is_synced")
CORES = ("AllCoresLosePower", "test_power_loss_after_any_disk_change")
INSTALLING = ("AllCoresLosePower", "test_power_loss_while_a_snapshot_is_installed")
FAILED_SYNC = ("PowerLoss", "test_a_sync_that_fails_once")
FLIPPED = ("Damage", "test_every_byte_flipped")
TRUNCATED = ("Damage", "test_every_truncation")

Patch = AbstractContextManager[Any]


async def succeed_without_effect(*arguments: Any, **named: Any) -> None:
    """Report success and do nothing."""


def disk_skips(method: str, *, where: Callable[[str], bool]) -> Patch:
    """Make one method of the disk do nothing for some paths or folders."""
    original = getattr(SimDisk, method)

    async def skip(self: SimDisk, **named: Any) -> Any:
        place = named.get("path", named.get("folder", ""))
        return None if where(place) else await original(self, **named)

    return mock.patch.object(SimDisk, method, skip)


def truncate_first() -> Patch:
    """Truncate the end of a file before overwriting it."""
    original = SimDisk.append

    async def append(self: SimDisk, *, path: str, data: bytes, at: int) -> KelpstageError | None:
        await original(self, path=path, data=b"", at=at)
        return await original(self, path=path, data=data, at=at)

    return mock.patch.object(SimDisk, "append", append)


def identity_in_place() -> Patch:
    """Overwrite the identity in place instead of renaming a temporary file."""

    async def write(self: Store, *, identity: DiskIdentity) -> KelpstageError | None:
        data = records.write_identity(identity=identity)
        await self._disk.write(path=IDENTITY_PATH, data=data)
        await self._disk.sync(path=IDENTITY_PATH)
        return await self._disk.sync_folder(folder=ROOT)

    return mock.patch.object(Store, "write_identity", write)


def log_deleted_first() -> Patch:
    """Delete the log before the identity when a replica is discarded."""
    original = Store.discard_replica

    async def set_aside(self: Store) -> KelpstageError | None:
        await self._delete_files(is_obsolete=lambda name: True)
        return await original(self)

    return mock.patch.object(Store, "discard_replica", set_aside)


def old_segments_deleted_first() -> Patch:
    """Delete the old segments before the segment after the snapshot is written."""
    original = Store._begin_segment

    async def begin(self: Store, **named: Any) -> KelpstageError | None:
        await self._delete_superseded(segment=self._segment_number + 1, index=0)
        return await original(self, **named)

    return mock.patch.object(Store, "_begin_segment", begin)


def identity_written_first() -> Patch:
    """Write a member's identity before the snapshot that it starts from."""
    original = Store.save_snapshot

    async def keep(self: Store, **named: Any) -> KelpstageError | None:
        member = DiskIdentity(replica=self._replica, cluster=named["snapshot"].cluster)
        await self.write_identity(identity=member)
        return await original(self, **named)

    return mock.patch.object(Store, "save_snapshot", keep)


def survivor_deleted_first() -> Patch:
    """Delete the old replica's files before the new identity is written."""
    original = Store.write_identity

    async def write(self: Store, *, identity: DiskIdentity) -> KelpstageError | None:
        await self._delete_files(is_obsolete=self._is_foreign)
        return await original(self, identity=identity)

    return mock.patch.object(Store, "write_identity", write)


def snapshot_loses(**lost: Any) -> Patch:
    """Lose part of the state with which the segment after a snapshot begins."""
    original = Store.save_snapshot

    async def keep(self: Store, *, snapshot: DiskSnapshot, **named: Any) -> KelpstageError | None:
        return await original(self, snapshot=snapshot, **(named | lost))

    return mock.patch.object(Store, "save_snapshot", keep)


def mark_written_first() -> Patch:
    """Write the mark before the sync that it states."""
    original = SimDisk.sync

    async def write_synced(
        self: Store, *, path: str, at: int, data: bytes, is_new: bool
    ) -> KelpstageError | None:
        size, self._segment_size = self._segment_size, at + len(data)
        error = await self._disk.append(path=path, data=data, at=at)
        await self.mark_synced()
        self._segment_size = size
        error = error or await original(self._disk, path=path)
        return error or await self._disk.sync_folder(folder=LOG_FOLDER)

    return mock.patch.object(Store, "_write_synced", write_synced)


def is_last_segment_empty(*, segments: list[Segment], index: int) -> bool:
    """`must_start_segment` that ignores the index."""
    return bool(segments) and not segments[-1].records


def offset_of_last(segment: Segment) -> int:
    """The offset of the last record, also when it is the first of the segment."""
    return segment.records[-1].offset


def is_segment(path: str) -> bool:
    """True for the path of a segment."""
    return path.endswith(".seg")


FAULTS: dict[str, tuple[Callable[[], Patch], tuple[str, str]]] = {
    "a record is not synced": (lambda: disk_skips("sync", where=is_segment), EVERY_CHANGE),
    "a write is reported before it is synced": (
        lambda: disk_skips("sync", where=is_segment),
        REPORTS,
    ),
    "a core's records are not synced": (lambda: disk_skips("sync", where=is_segment), CORES),
    "a core does not complete an interrupted snapshot": (
        lambda: mock.patch.object(store_module, "must_start_segment", is_last_segment_empty),
        INSTALLING,
    ),
    "a segment's name is not synced": (
        lambda: disk_skips("sync_folder", where=lambda folder: folder == LOG_FOLDER),
        EVERY_CHANGE,
    ),
    "a snapshot is not synced": (
        lambda: disk_skips("sync", where=lambda path: ".snap" in path),
        EVERY_CHANGE,
    ),
    "a snapshot's name is not synced": (
        lambda: disk_skips("sync_folder", where=lambda folder: folder == SNAPSHOT_FOLDER),
        EVERY_CHANGE,
    ),
    "an identity is not synced": (
        lambda: disk_skips("sync", where=lambda path: path.startswith(IDENTITY_PATH)),
        FOUNDING,
    ),
    "the folder of a deleted identity is not synced": (
        lambda: disk_skips("sync_folder", where=lambda folder: folder == ROOT),
        DISCARDING,
    ),
    "a file is truncated before it is overwritten": (truncate_first, EVERY_CHANGE),
    "an identity is written in place": (identity_in_place, FOUNDING),
    "the log is deleted before the identity": (log_deleted_first, DISCARDING),
    "old segments are deleted before the new one is written": (
        old_segments_deleted_first,
        EVERY_CHANGE,
    ),
    "the identity is written before the snapshot": (identity_written_first, FOUNDING),
    "a survivor's files are deleted before the new identity is written": (
        survivor_deleted_first,
        SURVIVOR,
    ),
    "a snapshot loses the entries after it": (lambda: snapshot_loses(tail=[]), EVERY_CHANGE),
    "a snapshot loses the vote": (lambda: snapshot_loses(vote=""), EVERY_CHANGE),
    "a snapshot loses the term": (lambda: snapshot_loses(term=0), EVERY_CHANGE),
    "the mark is written before the sync": (mark_written_first, EVERY_CHANGE),
    "a segment's header is not rewritten": (
        lambda: mock.patch.object(Segment, "last_write_offset", property(offset_of_last)),
        FAILED_SYNC,
    ),
    "the last record is synced but not rewritten": (
        lambda: mock.patch.object(Segment, "last_write_offset", property(lambda self: self.end)),
        FAILED_SYNC,
    ),
    "the mark is never written": (
        lambda: mock.patch.object(Store, "mark_synced", succeed_without_effect),
        FLIPPED,
    ),
    "old segments are valid despite a base": (
        lambda: mock.patch.object(Segment, "begins_with_base", False),
        REMOVED,
    ),
    "an interrupted snapshot is not completed": (
        lambda: mock.patch.object(store_module, "must_start_segment", is_last_segment_empty),
        EVERY_CHANGE,
    ),
    "a truncated segment is not detected": (
        lambda: mock.patch.object(recovery, "_truncated_segment", lambda **named: None),
        TRUNCATED,
    ),
}


def case_of(*, name: str) -> type[unittest.TestCase]:
    """Returns the test case of this name from either module."""
    here = vars(test_store_power_loss).get(name)
    return here or getattr(test_cores_power_loss, name)


class PlantedFaults(unittest.TestCase):
    """Holds one test for each planted fault; `_add` defines them."""

    def assert_seen(self, *, patch: Patch, test: tuple[str, str]) -> None:
        """Assert that the test fails by an assertion, not by an error, with the fault planted."""
        result = unittest.TestResult()
        result.failfast = True
        with patch:
            case_of(name=test[0])(test[1]).run(result)
        self.assertEqual([], result.errors)
        self.assertTrue(result.failures, "the test did not detect the planted fault")


def _add(name: str, patch: Callable[[], Patch], test: tuple[str, str]) -> None:
    def planted(self: PlantedFaults) -> None:
        self.assert_seen(patch=patch(), test=test)

    setattr(PlantedFaults, f"test_{name.replace(' ', '_').replace(chr(39), '')}", planted)


for _name, (_patch, _test) in FAULTS.items():
    _add(_name, _patch, _test)


if __name__ == "__main__":
    unittest.main()
