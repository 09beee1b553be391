"""The cores that an edge knows of, and which of them to ask next."""

from __future__ import annotations

from kelpstage.common.transport.messages import LeaseReply

CORES_KEPT = 16
SILENCE_US = 2_000_000  # a core that gave no answer is asked last for so long


class CoreDirectory:
    """Addresses of cores and seeds, and of the leader if one is known.

    >>> directory = CoreDirectory(seeds=["a", "b"])
    >>> directory.on_silent(address="a", now_us=0)
    >>> directory.next_address(now_us=1), directory.next_address(now_us=2)
    ('b', 'b')
    """

    def __init__(self, *, seeds: list[str]) -> None:
        self.seeds = list(seeds)
        self.cores: list[str] = list(seeds)
        self.leader = ""
        self._turn = 0
        self._silent_until: dict[str, int] = {}

    def next_address(self, *, now_us: int) -> str:
        """The leader if it is known, else the cores and seeds by turns; one that gave no
        answer a moment ago is passed over, since each wait for it costs lease."""
        if self.leader:
            return self.leader
        known = list(dict.fromkeys(self.cores + self.seeds))
        answering = [one for one in known if now_us >= self._silent_until.get(one, 0)]
        candidates = answering or known
        self._turn += 1
        return candidates[self._turn % len(candidates)]

    def on_silent(self, *, address: str, now_us: int) -> None:
        """A core gave no answer: it is no longer held for the leader."""
        self.leader = ""
        self._silent_until[address] = now_us + SILENCE_US

    def on_reply(self, *, reply: LeaseReply) -> None:
        """Learn the leader and the cores. The leader's list replaces what is known; that
        of a core which does not lead may be of any age, so that it only adds."""
        self.leader = reply.leader_address
        if not reply.cores:
            return
        is_from_leader = bool(reply.known)
        kept = [] if is_from_leader else self.cores
        self.cores = list(dict.fromkeys([*reply.cores, *kept]))[:CORES_KEPT]
