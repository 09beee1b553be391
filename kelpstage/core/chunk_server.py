"""Serves the newest snapshot to members and the newest applied state to edges, in chunks."""

from __future__ import annotations

from kelpstage.common.ports.interfaces import Clock
from kelpstage.common.transport.chunks import ChunkSource
from kelpstage.common.transport.delta import pack_delta
from kelpstage.common.transport.messages import Chunk, FetchSnapshot, FetchState
from kelpstage.core.state.machine import Machine
from kelpstage.core.store.records import DiskSnapshot


class ChunkServer:
    """Chunk sources for snapshots and for states. A newer value replaces the older one, which
    stays available to a peer that has begun to fetch it."""

    def __init__(self, *, clock: Clock, cluster: str) -> None:
        self._clock = clock
        self._cluster = cluster
        self.snapshots = ChunkSource()
        self._states = ChunkSource()

    def publish_snapshot(self, *, snapshot: DiskSnapshot) -> None:
        """Serve this snapshot. Its index is the base of the log, which leaders offer."""
        self.snapshots.publish(
            mark=snapshot.index,
            mark_term=snapshot.term,
            data=pack_delta(base=b"", target=bytes(snapshot)),
            now_us=self._clock.now_us(),
        )

    def snapshot_chunk(self, *, request: FetchSnapshot) -> Chunk:
        """A chunk of the newest snapshot, or of the one that the peer has begun to fetch."""
        if request.cluster != self._cluster:
            return Chunk(is_found=False)
        return self.snapshots.chunk(
            min_mark=request.index,
            pinned=request.pinned,
            offset=request.offset,
            now_us=self._clock.now_us(),
        )

    def state_chunk(self, *, request: FetchState, machine: Machine) -> Chunk:
        """A chunk of the newest applied state, or of the one that the edge has begun to fetch."""
        now_us = self._clock.now_us()
        epoch = machine.state.epoch
        if self._states.mark != epoch:
            packed = pack_delta(base=b"", target=bytes(machine.doc()))
            self._states.publish(mark=epoch, data=packed, now_us=now_us)
        return self._states.chunk(
            min_mark=request.epoch, pinned=request.pinned, offset=request.offset, now_us=now_us
        )
