"""The budget of extra rounds: what a node may send beyond its first sends.

Counted where the sends happen, over any sliding ten seconds: at most one in seven
of the node's first sends to a service, and one in eight for each of its shards,
plus a slack that the live edges share. A search that begins again under a new
blueprint may go a little further: it can't end under the old one.
"""

from __future__ import annotations

from collections import Counter, deque

SPAN_US = 10_000_000
SERVICE_SHARE, SERVICE_SLACK = 7, 20
SHARD_SHARE, SHARD_SLACK = 8, 20
SHARD_SLACK_LEAST = 2
AGAIN_SHARE = 6.5


class Budget:
    """Sends of one node by service and shard.

    >>> budget = Budget()
    >>> for n in range(10): budget.first(service="c", shard="s", now_us=n)
    >>> [budget.take(service="c", shard="s", now_us=20, edges=10) for _ in range(4)]
    [True, True, True, False]
    >>> budget.take(service="c", shard="s", now_us=20 + SPAN_US, edges=10)
    True
    """

    def __init__(self) -> None:
        self._sends: deque[tuple[int, bool, str, str]] = deque()
        self._firsts: Counter = Counter()
        self._extras: Counter = Counter()
        self.taken: Counter = Counter()
        self.refused: Counter = Counter()

    def _expire(self, *, now_us: int) -> None:
        while self._sends and self._sends[0][0] <= now_us - SPAN_US:
            _, is_extra, service, shard = self._sends.popleft()
            counts = self._extras if is_extra else self._firsts
            counts[service] -= 1
            counts[(service, shard)] -= 1

    def _note(self, *, is_extra: bool, service: str, shard: str, now_us: int) -> None:
        self._sends.append((now_us, is_extra, service, shard))
        counts = self._extras if is_extra else self._firsts
        counts[service] += 1
        counts[(service, shard)] += 1

    def first(self, *, service: str, shard: str, now_us: int) -> None:
        """Count a first send."""
        self._expire(now_us=now_us)
        self._note(is_extra=False, service=service, shard=shard, now_us=now_us)

    def take(
        self, *, service: str, shard: str, now_us: int, edges: int, is_again: bool = False
    ) -> bool:
        """May an extra send go out now? If so it is counted."""
        edges = max(1, edges)
        slack = max(SHARD_SLACK_LEAST, SHARD_SLACK // edges)
        # What begins again asks every shard once: the service's limit is the shards' too.
        is_free = self.room(service=service, now_us=now_us, edges=edges, is_again=is_again) >= 1
        is_free = is_free and (
            is_again
            or self._extras[(service, shard)] + 1
            <= self._firsts[(service, shard)] / SHARD_SHARE + slack
        )
        if not is_free:
            self.refused[service] += 1
            return False
        self.taken[service] += 1
        self._note(is_extra=True, service=service, shard=shard, now_us=now_us)
        return True

    def room(self, *, service: str, now_us: int, edges: int, is_again: bool = False) -> int:
        """How many extra sends to a service are left now.

        >>> Budget().room(service="c", now_us=0, edges=4)
        5
        """
        self._expire(now_us=now_us)
        share = AGAIN_SHARE if is_again else SERVICE_SHARE
        limit = self._firsts[service] / share + max(1, SERVICE_SLACK // max(1, edges))
        return int(limit - self._extras[service])

    def spent(self, *, now_us: int) -> dict[str, dict[str, int]]:
        """First and extra sends in the last ten seconds, by service."""
        self._expire(now_us=now_us)
        services = sorted({s for s in self._firsts | self._extras if isinstance(s, str)})
        return {
            s: {"first": self._firsts[s], "extra": self._extras[s], "refused": self.refused[s]}
            for s in services
        }
