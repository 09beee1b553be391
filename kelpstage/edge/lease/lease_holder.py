"""What this edge may serve under: its lease, its peers' word, its configuration.

Plain. An edge serves while it holds a lease, or while it hears from a majority
of the membership and none of them has a newer epoch installed. One that has had no lease
in this life has forgotten what it knew: it may hear a majority, but is none of it.
Time is the edge's own, on a clock that runs through a freeze, and a lease counts from
when it was asked for.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.common.configuration.types import EMPTY, Configuration
from kelpstage.common.transport.messages import ConfirmEpochReply, LeaseReply, StateDoc

WITNESS_US = 1_000_000
MOVED_ON_US = 250_000


@dataclass(kw_only=True)
class PeerEpoch:
    asked_us: int
    epoch: int


@dataclass(kw_only=True)
class LeaseHolder:
    """One edge's right to serve.

    >>> lease_holder = LeaseHolder(me="a")
    >>> doc = StateDoc(cluster="c", epoch=1, version=1, membership=["a", "b", "c"])
    >>> lease_holder.install(doc=doc,
    ...     configuration=Configuration(version=1, document=b""), now_us=0)
    True
    >>> lease_holder.take_lease(reply=LeaseReply(is_granted=True, cluster="c", epoch=1,
    ...     span_us=100), sent_us=10)
    >>> lease_holder.take_lease(reply=LeaseReply(is_granted=True, cluster="c", epoch=2,
    ...     span_us=100), sent_us=20)
    >>> lease_holder.refusal(now_us=50), lease_holder.refusal(now_us=2_000_000)
    ('', 'no lease, and 1 of 3 peers vouch')
    """

    me: str
    cluster: str = ""
    epoch: int = 0
    membership: list[str] = field(default_factory=list)
    configuration: Configuration = EMPTY
    previous: Configuration | None = None
    installed_us: int = 0
    doc_bytes: bytes = b""
    newest_epoch: int = 0
    newest_at: list[str] = field(default_factory=list)
    leases: dict[int, int] = field(default_factory=dict)  # epoch -> until
    lease_asked_us: int = -(10**12)
    vouched_epoch: int | None = None
    served_version: int = 0  # before a restart, as peers remember it
    heard: dict[str, PeerEpoch] = field(default_factory=dict)

    def install(self, *, doc: StateDoc, configuration: Configuration, now_us: int) -> bool:
        """Take a state; only upward, only within one cluster."""
        if self.cluster and doc.cluster != self.cluster:
            return False
        if doc.epoch <= self.epoch:
            return False
        self.cluster = doc.cluster
        self.epoch = doc.epoch
        self.membership = list(doc.membership)
        self.doc_bytes = bytes(doc)
        self.newest_epoch = max(self.newest_epoch, doc.epoch)
        if doc.version > self.configuration.version:
            self.previous = self.configuration
            self.configuration = configuration
            self.installed_us = now_us
        return True

    def note_epoch(self, *, epoch: int, source: str) -> bool:
        """Somebody knows this epoch; true if it is to be fetched."""
        if epoch > self.newest_epoch:
            self.newest_epoch = epoch
            self.newest_at = []
        if epoch == self.newest_epoch and source and source not in self.newest_at:
            self.newest_at.append(source)
        return self.newest_epoch > self.epoch

    def take_lease(self, *, reply: LeaseReply, sent_us: int) -> None:
        if not reply.is_granted or self.cluster and reply.cluster != self.cluster:
            return
        until_us = sent_us + reply.span_us
        self.lease_asked_us = max(self.lease_asked_us, sent_us)
        self.leases[reply.epoch] = max(self.leases.get(reply.epoch, 0), until_us)
        while len(self.leases) > 4:
            del self.leases[min(self.leases)]
        self.newest_epoch = max(self.newest_epoch, reply.epoch)
        if self.vouched_epoch is None:
            self.vouched_epoch = reply.epoch

    @property
    def vouches(self) -> bool:
        """May this edge tell others what the newest epoch is that it knows of?

        Only after a lease in this life: before, it may have forgotten one.
        """
        return self.vouched_epoch is not None and self.epoch >= self.vouched_epoch

    @property
    def has_forgotten(self) -> bool:
        """Has this edge had no lease since it started?"""
        return self.vouched_epoch is None

    def on_epoch_confirmed(self, *, reply: ConfirmEpochReply, asked_us: int) -> None:
        self.served_version = max(self.served_version, reply.asker_version)
        if reply.cluster != self.cluster or not reply.vouches:
            return
        known = self.heard.get(reply.edge)
        if known is None or known.asked_us < asked_us:
            self.heard[reply.edge] = PeerEpoch(asked_us=asked_us, epoch=reply.epoch)

    def lease_until_us(self) -> int:
        """Until when this edge may serve what it has installed. A lease of an
        older epoch holds to its end beside one for an epoch not yet installed:
        the leader waits for that end before it acknowledges."""
        return max((u for epoch, u in self.leases.items() if epoch <= self.epoch), default=-1)

    def has_lease(self, *, now_us: int) -> bool:
        return now_us < self.lease_until_us()

    def vouchers(self, *, now_us: int) -> list[str]:
        """Members of the membership whose word is fresh, this edge among them."""
        out = [
            name
            for name in self.membership
            if name != self.me
            and name in self.heard
            and now_us - self.heard[name].asked_us < WITNESS_US
        ]
        return out + ([self.me] if self.vouches and self.me in self.membership else [])

    def has_majority(self, *, now_us: int) -> bool:
        """Does a majority vouch that nothing newer is acknowledged?

        What counts is what they have installed: an epoch that is acknowledged is
        installed on a majority. One that is only heard of may be lost with the
        cores that spoke of it, and must not stop the fleet for good.
        """
        if self.has_forgotten:
            if self.me not in self.membership or self.configuration.version < self.served_version:
                return False
        elif not self.vouches:
            return False
        names = self.vouchers(now_us=now_us)
        if any(self.heard[n].epoch > self.epoch for n in names if n != self.me):
            return False
        return len(names) * 2 > len(self.membership)

    def refusal(self, *, now_us: int) -> str:
        """Why this edge may not serve now; empty if it may."""
        if not self.configuration.version:
            return "no configuration"
        if self.has_lease(now_us=now_us) or self.has_majority(now_us=now_us):
            return ""
        names = self.vouchers(now_us=now_us)
        if any(self.heard[n].epoch > self.epoch for n in names if n != self.me):
            return f"a peer has a newer epoch than {self.epoch}"
        return f"no lease, and {len(names)} of {len(self.membership)} peers vouch"

    def has_moved_on(self, *, version: int, now_us: int) -> bool:
        """Is this version one that must not be handled here any more?"""
        if version == self.configuration.version:
            return False
        if version > self.configuration.version:
            return False
        is_last = self.previous is not None and version == self.previous.version
        return not is_last or now_us - self.installed_us > MOVED_ON_US

    def configuration_for(self, *, version: int, now_us: int) -> Configuration | None:
        """The configuration to run a query of this version under, if there is one."""
        if version == self.configuration.version:
            return self.configuration
        is_previous = self.previous is not None and version == self.previous.version
        if is_previous and now_us - self.installed_us <= MOVED_ON_US:
            return self.previous
        return None
