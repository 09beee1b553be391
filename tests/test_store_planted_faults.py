"""Faults planted in the store, one at a time: the tests of its disk see each of them."""

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

PREFIXES = ("PowerLoss", "test_every_prefix_of_every_operation")
SET_ASIDE = ("Membership", "test_setting_aside_leaves_the_whole_replica_or_none")
FOUNDING = ("Membership", "test_founding_is_whole_or_begins_again")
SURVIVOR = ("Membership", "test_recovery_from_a_survivor_leaves_the_old_replica_or_the_new")
REMOVED = ("PowerLoss", "test_removed_segments_that_stay_one_by_one_harm_nothing")
REPORTS = ("Reports", "test_nothing_is_reported_before_it_is_synced")
CORES = ("AllLosePower", "test_after_any_change")
INSTALLING = ("AllLosePower", "test_while_a_snapshot_is_installed")
FAILED_SYNC = ("PowerLoss", "test_a_sync_that_fails_once")
FLIPPED = ("Damage", "test_every_byte_flipped")
CUT_OFF = ("Damage", "test_every_length_cut_off")

Patch = AbstractContextManager[Any]


async def nothing(*arguments: Any, **named: Any) -> None:
    """Report success without having done anything."""


def disk_skips(method: str, *, where: Callable[[str], bool]) -> Patch:
    """One of the disk's methods does nothing for some paths or folders."""
    whole = getattr(SimDisk, method)

    async def skip(self: SimDisk, **named: Any) -> Any:
        place = named.get("path", named.get("folder", ""))
        return None if where(place) else await whole(self, **named)

    return mock.patch.object(SimDisk, method, skip)


def cut_off_first() -> Patch:
    """A file's end is cut off before it is written anew."""
    whole = SimDisk.append

    async def append(self: SimDisk, *, path: str, data: bytes, at: int) -> KelpstageError | None:
        await whole(self, path=path, data=b"", at=at)
        return await whole(self, path=path, data=data, at=at)

    return mock.patch.object(SimDisk, "append", append)


def identity_in_place() -> Patch:
    """The identity is written over instead of beside."""

    async def write(self: Store, *, identity: DiskIdentity) -> KelpstageError | None:
        data = records.write_identity(identity=identity)
        await self._disk.write(path=IDENTITY_PATH, data=data)
        await self._disk.sync(path=IDENTITY_PATH)
        return await self._disk.sync_folder(folder=ROOT)

    return mock.patch.object(Store, "write_identity", write)


def log_set_aside_first() -> Patch:
    """Setting aside deletes the log before the identity."""
    whole = Store.set_aside

    async def set_aside(self: Store) -> KelpstageError | None:
        await self._delete_files(is_obsolete=lambda name: True)
        return await whole(self)

    return mock.patch.object(Store, "set_aside", set_aside)


def dropped_too_soon() -> Patch:
    """A snapshot's predecessors go before the segment behind it is begun."""
    whole = Store._begin_segment

    async def begin(self: Store, **named: Any) -> KelpstageError | None:
        await self._delete_superseded(segment=self._segment_number + 1, index=0)
        return await whole(self, **named)

    return mock.patch.object(Store, "_begin_segment", begin)


def identity_too_soon() -> Patch:
    """A member's identity is written before the snapshot that it begins from."""
    whole = Store.save_snapshot

    async def keep(self: Store, **named: Any) -> KelpstageError | None:
        member = DiskIdentity(replica=self._replica, cluster=named["snapshot"].cluster)
        await self.write_identity(identity=member)
        return await whole(self, **named)

    return mock.patch.object(Store, "save_snapshot", keep)


def survivor_dropped_too_soon() -> Patch:
    """The old replica's files go before the new identity is written."""
    whole = Store.write_identity

    async def write(self: Store, *, identity: DiskIdentity) -> KelpstageError | None:
        await self._delete_files(is_obsolete=self._is_foreign)
        return await whole(self, identity=identity)

    return mock.patch.object(Store, "write_identity", write)


def snapshot_loses(**lost: Any) -> Patch:
    """A snapshot forgets something of what its segment is to begin with."""
    whole = Store.save_snapshot

    async def keep(self: Store, *, snapshot: DiskSnapshot, **named: Any) -> KelpstageError | None:
        return await whole(self, snapshot=snapshot, **(named | lost))

    return mock.patch.object(Store, "save_snapshot", keep)


def mark_too_soon() -> Patch:
    """The mark is written before what it says is synced."""
    whole = SimDisk.sync

    async def write_synced(
        self: Store, *, path: str, at: int, data: bytes, is_new: bool
    ) -> KelpstageError | None:
        size, self._segment_size = self._segment_size, at + len(data)
        error = await self._disk.append(path=path, data=data, at=at)
        await self.mark_synced()
        self._segment_size = size
        error = error or await whole(self._disk, path=path)
        return error or await self._disk.sync_folder(folder=LOG_FOLDER)

    return mock.patch.object(Store, "_write_synced", write_synced)


def is_last_empty(*, segments: list[Segment], index: int) -> bool:
    """`must_start_segment` that does not look at the index."""
    return bool(segments) and not segments[-1].records


def offset_of_last(segment: Segment) -> int:
    """Where the last record begins, whatever is before it."""
    return segment.records[-1].offset


def is_segment(path: str) -> bool:
    """Is this a segment's path?"""
    return path.endswith(".seg")


FAULTS: dict[str, tuple[Callable[[], Patch], tuple[str, str]]] = {
    "a record is not synced": (lambda: disk_skips("sync", where=is_segment), PREFIXES),
    "a write is reported before it is synced": (
        lambda: disk_skips("sync", where=is_segment),
        REPORTS,
    ),
    "a core's records are not synced": (lambda: disk_skips("sync", where=is_segment), CORES),
    "a core does not finish a snapshot that was cut off": (
        lambda: mock.patch.object(store_module, "must_start_segment", is_last_empty),
        INSTALLING,
    ),
    "a segment's name is not synced": (
        lambda: disk_skips("sync_folder", where=lambda folder: folder == LOG_FOLDER),
        PREFIXES,
    ),
    "a snapshot is not synced": (
        lambda: disk_skips("sync", where=lambda path: ".snap" in path),
        PREFIXES,
    ),
    "a snapshot's name is not synced": (
        lambda: disk_skips("sync_folder", where=lambda folder: folder == SNAPSHOT_FOLDER),
        PREFIXES,
    ),
    "an identity is not synced": (
        lambda: disk_skips("sync", where=lambda path: path.startswith(IDENTITY_PATH)),
        FOUNDING,
    ),
    "the removed identity's folder is not synced": (
        lambda: disk_skips("sync_folder", where=lambda folder: folder == ROOT),
        SET_ASIDE,
    ),
    "a file's end is cut off before it is written again": (cut_off_first, PREFIXES),
    "an identity is written in place": (identity_in_place, FOUNDING),
    "the log is set aside before the identity": (log_set_aside_first, SET_ASIDE),
    "old segments go before the new one": (dropped_too_soon, PREFIXES),
    "the identity comes before the snapshot": (identity_too_soon, FOUNDING),
    "a survivor's files go before the new identity": (survivor_dropped_too_soon, SURVIVOR),
    "a snapshot loses the entries behind it": (lambda: snapshot_loses(tail=[]), PREFIXES),
    "a snapshot loses the vote": (lambda: snapshot_loses(vote=""), PREFIXES),
    "a snapshot loses the term": (lambda: snapshot_loses(term=0), PREFIXES),
    "the mark comes before the sync": (mark_too_soon, PREFIXES),
    "a segment's head is not written again": (
        lambda: mock.patch.object(Segment, "last_write_offset", property(offset_of_last)),
        FAILED_SYNC,
    ),
    "the last record is synced but not written again": (
        lambda: mock.patch.object(Segment, "last_write_offset", property(lambda self: self.end)),
        FAILED_SYNC,
    ),
    "the mark is never written": (
        lambda: mock.patch.object(Store, "mark_synced", nothing),
        FLIPPED,
    ),
    "old segments count beside a base": (
        lambda: mock.patch.object(Segment, "begins_with_base", False),
        REMOVED,
    ),
    "a snapshot that was cut off is not finished": (
        lambda: mock.patch.object(store_module, "must_start_segment", is_last_empty),
        PREFIXES,
    ),
    "a segment cut short is not noticed": (
        lambda: mock.patch.object(recovery, "_truncated_segment", lambda **named: None),
        CUT_OFF,
    ),
}


def case_of(*, name: str) -> type[unittest.TestCase]:
    """The test case of this name, in either module."""
    here = vars(test_store_power_loss).get(name)
    return here or getattr(test_cores_power_loss, name)


class PlantedFaults(unittest.TestCase):
    """One test for each; see below."""

    def assert_seen(self, *, patch: Patch, test: tuple[str, str]) -> None:
        """With the fault planted the test fails by what it asserts, not by an error."""
        result = unittest.TestResult()
        result.failfast = True
        with patch:
            case_of(name=test[0])(test[1]).run(result)
        self.assertEqual([], result.errors)
        self.assertTrue(result.failures, "nobody saw it")


def _add(name: str, patch: Callable[[], Patch], test: tuple[str, str]) -> None:
    def planted(self: PlantedFaults) -> None:
        self.assert_seen(patch=patch(), test=test)

    setattr(PlantedFaults, f"test_{name.replace(' ', '_').replace(chr(39), '')}", planted)


for _name, (_patch, _test) in FAULTS.items():
    _add(_name, _patch, _test)


if __name__ == "__main__":
    unittest.main()
