"""When a replica takes a snapshot, and how it fetches one from its leader.

Invariants: one fetch runs at a time, and a failed fetch is followed by a backoff. While a
snapshot is in transfer, the next one is deferred for a bounded time and a bounded growth of
the log, so that the entries after it are still in the log when the transfer ends.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Awaitable, Callable

from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Clock
from kelpstage.common.transport.chunks import backoff_us, fetch_chunks
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.delta import apply_delta
from kelpstage.common.transport.messages import FetchSnapshot
from kelpstage.core.events import SnapshotFetchFailed
from kelpstage.core.raft.types import FetchOffered
from kelpstage.core.store.records import DiskSnapshot

SNAPSHOT_ENTRIES = 400  # applied log entries after which a snapshot is due
SNAPSHOT_BYTES = 1024 * 1024  # log bytes after which a snapshot is due, or, if larger,
SNAPSHOT_FACTOR = 2  # this multiple of the size of the last snapshot
DEFERRAL_FACTOR = 4  # raises both limits while a member fetches a snapshot
MAX_DEFERRAL_US = 60_000_000


@dataclass(frozen=True, kw_only=True)
class LogSize:
    """The size of the log after the last snapshot; `entries` counts applied entries."""

    entries: int
    data_bytes: int
    snapshot_bytes: int  # of the last snapshot, compressed


class SnapshotPolicy:
    """Decides from the size of the log when the next snapshot is due.

    >>> policy = SnapshotPolicy()
    >>> size = LogSize(entries=SNAPSHOT_ENTRIES, data_bytes=0, snapshot_bytes=0)
    >>> policy.is_due(size=size, is_in_transfer=False, now_us=1)
    True
    >>> policy.is_due(size=size, is_in_transfer=True, now_us=1)
    False
    >>> policy.is_due(size=size, is_in_transfer=True, now_us=2 + MAX_DEFERRAL_US)
    True
    """

    def __init__(self) -> None:
        self._deferred_since_us: int | None = None

    def is_due(self, *, size: LogSize, is_in_transfer: bool, now_us: int) -> bool:
        """True if the log exceeds its limit of entries or bytes.

        Both limits are raised while a member fetches a snapshot, for `MAX_DEFERRAL_US`.
        """
        is_deferred = self._is_deferred(is_in_transfer=is_in_transfer, now_us=now_us)
        factor = DEFERRAL_FACTOR if is_deferred else 1
        limit_bytes = max(SNAPSHOT_BYTES, SNAPSHOT_FACTOR * size.snapshot_bytes)
        is_long = size.entries >= SNAPSHOT_ENTRIES * factor
        is_large = size.data_bytes >= limit_bytes * factor and size.entries > 1
        return is_long or is_large

    def _is_deferred(self, *, is_in_transfer: bool, now_us: int) -> bool:
        if not is_in_transfer:
            self._deferred_since_us = None
            return False
        if self._deferred_since_us is None:
            self._deferred_since_us = now_us
        return now_us - self._deferred_since_us < MAX_DEFERRAL_US


class SnapshotFetcher:
    """Fetches the snapshot that a leader offers."""

    def __init__(
        self,
        *,
        transport: Transport,
        clock: Clock,
        journal: Journal,
        cluster: str,
        spawn: Callable[[Awaitable[None]], Any],
        on_fetched: Callable[[FetchOffered, DiskSnapshot], None],
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._journal = journal
        self._cluster = cluster
        self._spawn = spawn
        self._on_fetched = on_fetched
        self._newest_offer: FetchOffered | None = None
        self._is_fetching = False
        self._failures = 0
        self._retry_at_us = 0

    def on_offer(self, *, offer: FetchOffered) -> None:
        """Start a fetch, unless one is running or backing off.

        The leader repeats its offer with each heartbeat.
        """
        self._newest_offer = offer
        if self._is_fetching or self._clock.now_us() < self._retry_at_us:
            return
        self._is_fetching = True
        self._spawn(self._fetch(offer=offer))

    async def _fetch(self, *, offer: FetchOffered) -> None:
        packed = await fetch_chunks(
            transport=self._transport,
            clock=self._clock,
            address=offer.leader_address,
            make_request=lambda pinned, offset: FetchSnapshot(
                cluster=self._cluster, index=offer.index, offset=offset, pinned=pinned
            ),
            is_wanted=lambda: self._is_offered_by(address=offer.leader_address),
        )
        self._is_fetching = False
        data = None if packed is None else apply_delta(base=b"", delta=packed)
        if data is None:
            self._on_fetch_failed(offer=offer)
            return
        self._failures = 0
        snapshot = DiskSnapshot().parse(data)
        if snapshot.cluster == self._cluster:
            self._on_fetched(offer, snapshot)

    def _is_offered_by(self, *, address: str) -> bool:
        """True if the newest offer is from the leader at this address."""
        return self._newest_offer is not None and self._newest_offer.leader_address == address

    def _on_fetch_failed(self, *, offer: FetchOffered) -> None:
        self._failures += 1
        wait_us = backoff_us(failures=self._failures)
        self._retry_at_us = self._clock.now_us() + wait_us
        self._journal.add(SnapshotFetchFailed(index=offer.index, again_after_us=wait_us))
