"""The retry budget: limits the attempts that an edge sends beyond first attempts.

Every attempt of a request to a shard after the first one is a retry, including hedged
requests. Each edge counts its own attempts over a sliding window. The settings select one of
two rules:

- *Default limit* (no ratio set): at most one retry per seven first attempts of the edge to
  a service, and one per eight for each of its shards, plus a slack that the live edges
  share. A search that restarts under a new configuration may use a little more, since it
  can't complete under the old one.
- *Configured limit* (a ratio is set): the deployment limits what a service receives beyond
  the first arrival of each request, summed over all edges. Here a shard *is* a service,
  whichever route or collection sends the request. Each edge uses 0.8 of the ratio of its
  own first attempts, and its share of 0.7 of the slack; a share below one retry is
  accumulated in a token bucket. `docs/notes/retry-budget.md` shows that the sum stays
  within the limit.
"""

from __future__ import annotations

import zlib
from collections import Counter, deque
from dataclasses import dataclass
from typing import Collection

WINDOW_US = 10_000_000  # the sliding window
SERVICE_SHARE, SERVICE_SLACK = 7, 20  # one retry per this many first attempts, plus a slack
SHARD_SHARE, SHARD_SLACK = 8, 20
SHARD_SLACK_MIN = 2  # of one edge, for any number of edges
RESTART_SHARE = 6.5  # as `SERVICE_SHARE`, for a search that restarts
RATIO_SHARE = 0.8  # of the configured ratio
SLACK_SHARE, BUCKET_SLACK_SHARE = 0.7, 0.25  # of the configured slack, direct and through buckets
EDGE_COUNT_WINDOW_US = 120_000_000  # the highest number of edges in this time is used

# Attempts are counted by service, and by service and shard.
Key = str | tuple[str, str]


@dataclass(kw_only=True, slots=True)
class TokenBucket:
    """Accumulates the credit of an edge whose share is below one retry per window, up to one."""

    credit: float = 0.0
    since_us: int = 0


class Budget:
    """The retry budget of one edge, by service and shard.

    >>> budget = Budget()
    >>> for n in range(10): budget.count_first(service="c", shard="s", now_us=n)
    >>> [budget.try_acquire(service="c", shard="s", now_us=20, edges=10) for _ in range(4)]
    [True, True, True, False]
    >>> budget.try_acquire(service="c", shard="s", now_us=20 + WINDOW_US, edges=10)
    True

    With a configured limit, which gives no slack in the first window after an edge's start:

    >>> budget = Budget(ratio=0.2, slack=60)
    >>> for n in range(50): budget.count_first(service="s", shard="", now_us=n)
    >>> sum(budget.try_acquire(service="s", shard="", now_us=60, edges=12) for _ in range(20))
    8
    >>> sum(budget.try_acquire(service="s", shard="", now_us=WINDOW_US + 60, edges=12)
    ...     for _ in range(9))
    3
    """

    def __init__(
        self,
        *,
        ratio: float | None = None,
        window_us: int = WINDOW_US,
        slack: int = SERVICE_SLACK,
        me: str = "",
        started_us: int | None = None,
    ) -> None:
        """`started_us` is the time at which this edge started; by default its first attempt."""
        self._ratio = ratio
        self._window_us = window_us
        self._slack = slack
        self._me = me
        self._started_us = started_us
        self._sends: deque[tuple[int, bool, str, str]] = deque()
        self._firsts: Counter[Key] = Counter()
        self._retries: Counter[Key] = Counter()
        self._buckets: dict[str, TokenBucket] = {}
        self._edge_counts: deque[tuple[int, int]] = deque()
        self.taken: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()

    def _expire(self, *, now_us: int) -> None:
        while self._sends and self._sends[0][0] <= now_us - self._window_us:
            _, is_retry, service, shard = self._sends.popleft()
            counts = self._retries if is_retry else self._firsts
            counts[service] -= 1
            counts[(service, shard)] -= 1

    def _record(self, *, is_retry: bool, service: str, shard: str, now_us: int) -> None:
        self._sends.append((now_us, is_retry, service, shard))
        counts = self._retries if is_retry else self._firsts
        counts[service] += 1
        counts[(service, shard)] += 1

    def count_first(self, *, service: str, shard: str, now_us: int) -> None:
        """Count a first attempt."""
        if self._started_us is None:
            self._started_us = now_us
        service = self._bound_key(service=service, shard=shard)
        self._expire(now_us=now_us)
        if self._ratio is not None:
            self._refill(service=service, now_us=now_us)
        self._record(is_retry=False, service=service, shard=shard, now_us=now_us)

    def try_acquire(
        self, *, service: str, shard: str, now_us: int, edges: int, is_restart: bool = False
    ) -> bool:
        """Count a retry and return true if the budget allows it.

        `is_restart` is true for a retry of a search that restarts.
        """
        service = self._bound_key(service=service, shard=shard)
        is_free = (
            self.available(service=service, now_us=now_us, edges=edges, is_restart=is_restart) >= 1
        )
        # A restarted search asks every shard once, so the limit of the service also bounds shards.
        if self._ratio is None and not is_restart:
            is_free = is_free and self._has_room_for_shard(
                service=service, shard=shard, edges=edges
            )
        if not is_free:
            self.refused[service] += 1
            return False
        self.taken[service] += 1
        self._record(is_retry=True, service=service, shard=shard, now_us=now_us)
        if service in self._buckets:
            self._buckets[service].credit = 0.0
        return True

    def release(self, *, service: str, shard: str, now_us: int) -> None:
        """Remove the newest retry to a service from the count, since it never arrived.

        >>> budget = Budget(slack=1)
        >>> budget.try_acquire(service="c", shard="s", now_us=1, edges=1)
        True
        >>> budget.release(service="c", shard="s", now_us=2)
        >>> budget.available(service="c", now_us=3, edges=1)
        1
        """
        service = self._bound_key(service=service, shard=shard)
        self._expire(now_us=now_us)
        for index in range(len(self._sends) - 1, -1, -1):
            if self._sends[index][1:] == (True, service, shard):
                del self._sends[index]
                self._retries[service] -= 1
                self._retries[(service, shard)] -= 1
                return

    def _bound_key(self, *, service: str, shard: str) -> str:
        """What the limit applies to: the service, or with a configured limit the shard."""
        return service if self._ratio is None else shard or service

    def available(
        self,
        *,
        service: str,
        now_us: int,
        edges: int,
        is_restart: bool = False,
        shards: Collection[str] = (),
    ) -> int:
        """The number of retries to a service that are allowed now.

        With a configured limit and `shards`, the number of these shards that may get one.

        >>> Budget().available(service="c", now_us=0, edges=4)
        5
        >>> Budget(ratio=0.1, slack=60, started_us=0).available(
        ...     service="c", now_us=WINDOW_US, edges=4, shards=("s1", "s2"))
        2
        """
        self._expire(now_us=now_us)
        if self._ratio is not None and shards:
            return sum(
                self._room_under_ratio(service=shard, now_us=now_us, edges=edges) >= 1
                for shard in shards
            )
        if self._ratio is not None:
            return self._room_under_ratio(service=service, now_us=now_us, edges=edges)
        share = RESTART_SHARE if is_restart else SERVICE_SHARE
        limit = self._firsts[service] / share + max(1, self._slack // max(1, edges))
        return int(limit - self._retries[service])

    def _has_room_for_shard(self, *, service: str, shard: str, edges: int) -> bool:
        slack = max(SHARD_SLACK_MIN, SHARD_SLACK // max(1, edges))
        limit = self._firsts[(service, shard)] / SHARD_SHARE + slack
        return self._retries[(service, shard)] + 1 <= limit

    # --- the configured limit ---------------------------------------------------------

    def _room_under_ratio(self, *, service: str, now_us: int, edges: int) -> int:
        if self._started_us is None:
            self._started_us = now_us
        self.note_edges(edges=edges, now_us=now_us)
        limit = self._limit(service=service, now_us=now_us)
        retries = self._retries[service]
        room = int(limit - retries + 1e-9)
        if room >= 1 or retries or limit >= 1:
            return room
        return int(self._refill(service=service, now_us=now_us) >= 1.0)

    def _limit(self, *, service: str, now_us: int) -> float:
        """The number of retries that this edge may send per window now, as a fraction."""
        assert self._ratio is not None and self._started_us is not None  # a configured limit
        limit = RATIO_SHARE * self._ratio * self._firsts[service]
        if now_us - self._started_us >= self._window_us:
            # The previous process of this edge may have used its share just before it ended.
            limit += SLACK_SHARE * self._slack / self._highest_edges()
        return limit

    def _refill(self, *, service: str, now_us: int) -> float:
        """Add the credit that has accrued since the last call; returns the current credit."""
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = TokenBucket(since_us=now_us)
        if not self._edge_counts:
            bucket.since_us = now_us  # the number of edges that share the slack is not known yet
            return bucket.credit
        limit = self._limit(service=service, now_us=now_us)
        elapsed_us, bucket.since_us = now_us - bucket.since_us, now_us
        if self._may_refill(service=service):
            bucket.credit = min(1.0, bucket.credit + min(1.0, limit) * elapsed_us / self._window_us)
        return bucket.credit

    def _may_refill(self, *, service: str) -> bool:
        """True if this edge may accumulate credit.

        All edges may if there are few enough; otherwise a hash selects some for each service.
        In one window all edges together can use at most 0.95 of the slack.
        """
        edges = self._highest_edges()
        rest = 1.0 - SLACK_SHARE * self._slack / edges
        if rest <= 0:
            return True
        max_edges = BUCKET_SLACK_SHARE * self._slack / rest
        if max_edges >= edges:
            return True
        return zlib.crc32(f"{service}|{self._me}".encode()) / 2**32 < max_edges / edges

    def note_edges(self, *, edges: int, now_us: int) -> None:
        """Record the number of live edges; called periodically, so that credit can accrue.

        The highest number of the last two minutes is used. Otherwise each side of a network
        partition would divide the whole slack among its own edges.
        """
        while self._edge_counts and self._edge_counts[-1][1] <= edges:
            self._edge_counts.pop()
        self._edge_counts.append((now_us, max(1, edges)))
        while now_us - self._edge_counts[0][0] > EDGE_COUNT_WINDOW_US:
            self._edge_counts.popleft()

    def _highest_edges(self) -> int:
        return self._edge_counts[0][1] if self._edge_counts else 1

    def spent(self, *, now_us: int) -> dict[str, dict[str, int]]:
        """First attempts and retries in the current window, and all rejected ones, by service."""
        self._expire(now_us=now_us)
        services = sorted({s for s in self._firsts | self._retries if isinstance(s, str)})
        return {
            s: {"first": self._firsts[s], "extra": self._retries[s], "refused": self.refused[s]}
            for s in services
        }
