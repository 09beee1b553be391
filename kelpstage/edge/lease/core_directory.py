"""The cores that an edge knows, and the choice of the next one to contact."""

from __future__ import annotations

from kelpstage.common.transport.messages import LeaseReply

MAX_CORES = 16
UNRESPONSIVE_CORE_DELAY_US = 2_000_000  # an unresponsive core is contacted last


class CoreDirectory:
    """The addresses of the cores and seeds, and of the leader if it is known.

    >>> directory = CoreDirectory(seeds=["a", "b"])
    >>> directory.on_no_reply(address="a", now_us=0)
    >>> directory.next_address(now_us=1), directory.next_address(now_us=2)
    ('b', 'b')
    """

    def __init__(self, *, seeds: list[str]) -> None:
        self.seeds = list(seeds)
        self.cores: list[str] = list(seeds)
        self.leader = ""
        self._next_index = 0
        self._unresponsive_until_us: dict[str, int] = {}

    def next_address(self, *, now_us: int) -> str:
        """The leader if it is known, else the cores and seeds in round-robin order.

        A core that has just not replied is skipped, since each timeout uses up time of the
        lease. If no core has replied lately, all of them are candidates.
        """
        if self.leader:
            return self.leader
        known = list(dict.fromkeys(self.cores + self.seeds))
        answering = [one for one in known if now_us >= self._unresponsive_until_us.get(one, 0)]
        candidates = answering or known
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]

    def on_no_reply(self, *, address: str, now_us: int) -> None:
        """Clear the known leader and skip this core for a while, since it did not reply."""
        self.leader = ""
        self._unresponsive_until_us[address] = now_us + UNRESPONSIVE_CORE_DELAY_US

    def on_reply(self, *, reply: LeaseReply) -> None:
        """Update the leader and the cores from a reply.

        The leader's list replaces the known cores. The list of any other core may be out of
        date, so it only adds to them.
        """
        self.leader = reply.leader_address
        if not reply.cores:
            return
        is_from_leader = bool(reply.known)
        kept = [] if is_from_leader else self.cores
        self.cores = list(dict.fromkeys([*reply.cores, *kept]))[:MAX_CORES]
