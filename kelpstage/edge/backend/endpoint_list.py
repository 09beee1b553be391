"""One edge's copy of the endpoint list, and the updates that edges exchange.

This module does no I/O, and the current time is an argument. An update contains the changes
of the last seconds and the digest of the complete list. A receiver whose digest differs after
it applied the changes has missed an update and fetches the complete list. So the updates of
different readers can be mixed, and a lost message does no harm if a later one arrives in
time. The freshness of a list is sent as an age. An age does not include the time that a
message spent in a connection, so readings are numbered as well: each reader continues from
the highest number that it has received, and an edge ignores an update with a lower number
than the highest it has seen.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from enum import StrEnum
from typing import Iterable

from kelpstage.common.transport.messages import EndpointUpdate
from kelpstage.edge.backend.instance import Instance, digest_of, hash_of, instance_of, message_of

CHANGE_RETENTION_US = 5_000_000  # updates repeat a change for this long
CHANGES_PER_UPDATE = 1_000  # above this, peers fetch the complete list
STALE_TOLERANCE_US = 50_000  # an update may be this much older than the list


class Outcome(StrEnum):
    """The result of applying a reading or an update."""

    TAKEN = "taken"  # the list has changed
    SAME = "same"  # the list is unchanged
    STALE = "stale"  # older than the list, or implausible
    GAP = "gap"  # changes are missing; the complete list is needed


class EndpointList:
    """Instances by id, the digest of all instances, and the freshness of the list.

    >>> a, b = EndpointList(me="a", own="a:1"), EndpointList(me="b", own="b:1")
    >>> instance = Instance(instance_id="i", service="s", address="127.0.0.1:1")
    >>> a.apply_listing(instances=[instance], read_us=1_000, now_us=2_000)
    <Outcome.TAKEN: 'taken'>
    >>> b.apply_update(update=a.update(now_us=2_000), now_us=70_000)
    <Outcome.TAKEN: 'taken'>
    >>> b.instances == a.instances, b.fresh_us
    (True, 69000)
    >>> a.apply_listing(instances=[], read_us=9_000_000, now_us=9_000_000)
    <Outcome.STALE: 'stale'>
    """

    def __init__(self, *, me: str, own: str) -> None:
        self._me = me
        self._own = own
        self.instances: dict[str, Instance] = {}
        self.digest = 0
        self.is_known = False
        self.fresh_us = 0
        self.updated_us = 0
        self.reader = ""
        self.reading = 0  # the highest reading number seen
        self._warming_up_until_us: dict[str, int] = {}
        self._recent_changes: deque[tuple[int, str]] = deque()

    # --- readings and updates received --------------------------------------------------

    def apply_listing(self, *, instances: Iterable[Instance], read_us: int, now_us: int) -> Outcome:
        """Apply a complete list that this edge read itself, starting at `read_us`.

        An empty list is ignored while instances are known: a list that lost its rows must not
        remove every instance.
        """
        found = {instance.instance_id: instance for instance in instances}
        if not found and self.instances:
            return Outcome.STALE
        plain = {name: _without_cold_us(instance=instance) for name, instance in found.items()}
        changed = [
            instance for name, instance in found.items() if self.instances.get(name) != plain[name]
        ]
        gone = [name for name in self.instances if name not in found]
        self.reading += 1
        self._record_freshness(fresh_us=read_us, now_us=now_us, reader=self._me)
        if not changed and not gone and self.is_known:
            return Outcome.SAME
        self._apply_changes(changed=changed, gone=gone, now_us=now_us)
        return Outcome.TAKEN

    def apply_update(self, *, update: EndpointUpdate, now_us: int) -> Outcome:
        """Apply an update from a peer."""
        if not update.is_known:
            return Outcome.STALE
        fresh_us = now_us - update.age_us
        is_superseded = update.reading < self.reading
        self.reading = max(self.reading, update.reading)
        if self.is_known and update.digest == self.digest:
            if fresh_us >= self.fresh_us and not is_superseded:
                self._record_freshness(fresh_us=fresh_us, now_us=now_us, reader=update.reader)
            return Outcome.SAME
        if self.is_known and (is_superseded or fresh_us < self.fresh_us - STALE_TOLERANCE_US):
            return Outcome.STALE
        changed = [instance_of(message=message) for message in update.changed]
        gone = [name for name in update.gone if name in self.instances]
        if update.is_whole:
            if digest_of(instances=changed) != update.digest:
                return Outcome.GAP
            listed = {instance.instance_id for instance in changed}
            gone = [name for name in self.instances if name not in listed]
        elif self._digest_after(changed=changed, gone=gone) != update.digest:
            return Outcome.GAP
        changed = [
            instance
            for instance in changed
            if self.instances.get(instance.instance_id) != _without_cold_us(instance=instance)
        ]
        self._apply_changes(changed=changed, gone=gone, now_us=now_us)
        self._record_freshness(fresh_us=fresh_us, now_us=now_us, reader=update.reader)
        return Outcome.TAKEN

    def _record_freshness(self, *, fresh_us: int, now_us: int, reader: str) -> None:
        self.fresh_us, self.updated_us, self.reader = max(fresh_us, self.fresh_us), now_us, reader

    def _digest_after(self, *, changed: list[Instance], gone: list[str]) -> int:
        digest = self.digest
        after = {instance.instance_id: instance for instance in changed}
        for name in {*after, *gone}:
            if name in self.instances:
                digest ^= hash_of(instance=self.instances[name])
            if name in after:
                digest ^= hash_of(instance=after[name])
        return digest

    def _apply_changes(self, *, changed: list[Instance], gone: list[str], now_us: int) -> None:
        self.digest = self._digest_after(changed=changed, gone=gone)
        self.is_known = True
        for instance in changed:
            self.instances[instance.instance_id] = _without_cold_us(instance=instance)
            if instance.cold_us > 0:
                self._warming_up_until_us[instance.instance_id] = now_us + instance.cold_us
            self._recent_changes.append((now_us, instance.instance_id))
        for name in gone:
            del self.instances[name]
            self._warming_up_until_us.pop(name, None)
            self._recent_changes.append((now_us, name))

    # --- updates sent -------------------------------------------------------------------

    def update(
        self, *, now_us: int, is_whole: bool = False, tell: Iterable[str] = ()
    ) -> EndpointUpdate:
        """Return an update with the recent changes, or with all instances if `is_whole`."""
        while self._recent_changes and now_us - self._recent_changes[0][0] > CHANGE_RETENTION_US:
            self._recent_changes.popleft()
        names = set(self.instances) if is_whole else {name for _, name in self._recent_changes}
        if not is_whole and len(names) > CHANGES_PER_UPDATE:
            names = set()  # the receivers fetch the complete list
        return EndpointUpdate(
            reader=self.reader,
            sender=self._own,
            digest=self.digest,
            age_us=max(0, now_us - self.fresh_us),
            is_whole=is_whole,
            changed=[
                message_of(
                    instance=self.instances[name], cold_us=self.cold_us(name=name, now_us=now_us)
                )
                for name in sorted(names)
                if name in self.instances
            ],
            gone=sorted(name for name in names if name not in self.instances),
            tell=list(tell),
            is_known=self.is_known,
            reading=self.reading,
        )

    def cold_us(self, *, name: str, now_us: int) -> int:
        """Return the remaining slow start of an instance."""
        return max(0, self._warming_up_until_us.get(name, 0) - now_us)

    def instances_at(self, *, now_us: int) -> list[Instance]:
        """Return all instances, each with its remaining slow start."""
        return [
            replace(instance, cold_us=self.cold_us(name=name, now_us=now_us))
            if name in self._warming_up_until_us
            else instance
            for name, instance in self.instances.items()
        ]


def _without_cold_us(*, instance: Instance) -> Instance:
    return replace(instance, cold_us=0) if instance.cold_us else instance
