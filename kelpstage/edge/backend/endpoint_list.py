"""The endpoint list as one edge has it, and the updates that travel.

Plain: readings and updates go in, updates come out, with the time as an argument. An
update names what changed in the last seconds and the digest of the complete list:
whoever gets another digest after the changes lacks something and asks for all of it. So
the updates of any reader fit on those of any other, and a lost message costs nothing as
long as a later one comes in time. How fresh a list is travels as an age. An age says
nothing of how long a message lay in a connection, so readings are numbered as well: each
reader counts on from the highest number it has received, and an update of a lower number
than an edge knows changes nothing there.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from enum import StrEnum
from typing import Iterable

from kelpstage.common.transport.messages import EndpointUpdate
from kelpstage.edge.backend.instance import Instance, digest_of, hash_of, instance_of, message_of

CHANGES_KEPT_US = 5_000_000  # changes are repeated in updates for so long
CHANGES_PER_UPDATE = 1_000  # with more of them, peers ask for the complete list
STALE_US = 50_000  # an update may be older than the list by so much


class Outcome(StrEnum):
    """What became of a reading or an update."""

    TAKEN = "taken"  # the list has changed
    SAME = "same"  # it is what was known
    STALE = "stale"  # older than what is known, or not believed
    GAP = "gap"  # not enough to have the complete list


class EndpointList:
    """Instances by id, the digest of them all, and how fresh they are.

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
        self.reading = 0  # the highest number of a reading that is known
        self._warming_up_until_us: dict[str, int] = {}
        self._changes: deque[tuple[int, str]] = deque()

    # --- what comes in ------------------------------------------------------------------

    def apply_listing(self, *, instances: Iterable[Instance], read_us: int, now_us: int) -> Outcome:
        """A complete list that this edge read itself, begun at `read_us`. An empty one is
        not believed: a list that lost its rows must not empty the fleet."""
        found = {instance.instance_id: instance for instance in instances}
        if not found and self.instances:
            return Outcome.STALE
        plain = {name: _plain(instance=instance) for name, instance in found.items()}
        changed = [
            instance for name, instance in found.items() if self.instances.get(name) != plain[name]
        ]
        gone = [name for name in self.instances if name not in found]
        self.reading += 1
        self._note_fresh(fresh_us=read_us, now_us=now_us, reader=self._me)
        if not changed and not gone and self.is_known:
            return Outcome.SAME
        self._change(changed=changed, gone=gone, now_us=now_us)
        return Outcome.TAKEN

    def apply_update(self, *, update: EndpointUpdate, now_us: int) -> Outcome:
        """An update that a peer sent."""
        if not update.is_known:
            return Outcome.STALE
        fresh_us = now_us - update.age_us
        is_superseded = update.reading < self.reading
        self.reading = max(self.reading, update.reading)
        if self.is_known and update.digest == self.digest:
            if fresh_us >= self.fresh_us and not is_superseded:
                self._note_fresh(fresh_us=fresh_us, now_us=now_us, reader=update.reader)
            return Outcome.SAME
        if self.is_known and (is_superseded or fresh_us < self.fresh_us - STALE_US):
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
            if self.instances.get(instance.instance_id) != _plain(instance=instance)
        ]
        self._change(changed=changed, gone=gone, now_us=now_us)
        self._note_fresh(fresh_us=fresh_us, now_us=now_us, reader=update.reader)
        return Outcome.TAKEN

    def _note_fresh(self, *, fresh_us: int, now_us: int, reader: str) -> None:
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

    def _change(self, *, changed: list[Instance], gone: list[str], now_us: int) -> None:
        self.digest = self._digest_after(changed=changed, gone=gone)
        self.is_known = True
        for instance in changed:
            self.instances[instance.instance_id] = _plain(instance=instance)
            if instance.cold_us > 0:
                self._warming_up_until_us[instance.instance_id] = now_us + instance.cold_us
            self._changes.append((now_us, instance.instance_id))
        for name in gone:
            del self.instances[name]
            self._warming_up_until_us.pop(name, None)
            self._changes.append((now_us, name))

    # --- what goes out ------------------------------------------------------------------

    def update(
        self, *, now_us: int, is_whole: bool = False, tell: Iterable[str] = ()
    ) -> EndpointUpdate:
        """The changes of the last seconds, or all instances, under the digest of them all."""
        while self._changes and now_us - self._changes[0][0] > CHANGES_KEPT_US:
            self._changes.popleft()
        names = set(self.instances) if is_whole else {name for _, name in self._changes}
        if not is_whole and len(names) > CHANGES_PER_UPDATE:
            names = set()  # they will ask for the complete list
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
        """How much longer an instance is slow from its start."""
        return max(0, self._warming_up_until_us.get(name, 0) - now_us)

    def as_of(self, *, now_us: int) -> list[Instance]:
        """All instances, each with what is left of its slow start."""
        return [
            replace(instance, cold_us=self.cold_us(name=name, now_us=now_us))
            if name in self._warming_up_until_us
            else instance
            for name, instance in self.instances.items()
        ]


def _plain(*, instance: Instance) -> Instance:
    return replace(instance, cold_us=0) if instance.cold_us else instance
