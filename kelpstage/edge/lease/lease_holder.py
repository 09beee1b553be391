"""An edge's right to serve: its leases, its peers' confirmations, its configuration.

An edge may serve while it holds a lease for the epoch that it has installed, or while a
majority of the membership, or of its voting members, has recently confirmed that none of them
has a newer epoch installed. An edge that has had no lease since it started may have lost an
epoch that it had installed: it may count its peers' confirmations, but confirms nothing to
them. An observer confirms only for a limited time after its last lease, a voting member
without a time limit.

Times are whole microseconds of the edge's own clock, which continues while the process is
frozen. A lease runs from the time at which it was requested. Source:
docs/notes/serving-right.md and docs/notes/edge-membership.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from kelpstage.common.configuration.types import EMPTY_CONFIGURATION, Configuration
from kelpstage.common.edge_membership import EdgeMembership
from kelpstage.common.lease_timing import CONFIRMS_AFTER_LEASE_US
from kelpstage.common.transport.messages import (
    ConfirmEpochReply,
    LeaseReply,
    RolloutState,
    StateDoc,
)

CONFIRMATION_TTL_US = 1_000_000  # how long a peer's confirmation is valid
PREVIOUS_CONFIGURATION_US = 250_000  # how long the previous one may still be used
MAX_LEASED_EPOCHS = 4  # number of epochs whose leases are kept at a time


@dataclass(kw_only=True)
class ConfirmedEpoch:
    """The epoch that a peer had installed, and when the peer was asked, in microseconds."""

    asked_us: int
    epoch: int


@dataclass(kw_only=True)
class LeaseHolder:
    """One edge's right to serve, as plain state without a clock or connections.

    Invariants: `epoch` and `configuration.version` never decrease, and `cluster` is set
    once. Only `refusal` decides whether this edge may serve.

    >>> lease_holder = LeaseHolder(me="a")
    >>> doc = StateDoc(cluster="c", epoch=1, version=1, membership=["a", "b", "c"])
    >>> lease_holder.install(doc=doc,
    ...     configuration=Configuration(version=1, document=b""), now_us=0)
    True
    >>> lease_holder.record_lease(reply=LeaseReply(is_granted=True, cluster="c", epoch=1,
    ...     span_us=100), sent_us=10)
    >>> lease_holder.record_lease(reply=LeaseReply(is_granted=True, cluster="c", epoch=2,
    ...     span_us=100), sent_us=20)
    >>> lease_holder.refusal(now_us=50), lease_holder.refusal(now_us=2_000_000)
    ('', 'no lease, and 1 of 3 peers vouch')
    """

    me: str
    cluster: str = ""
    epoch: int = 0
    membership: EdgeMembership = EdgeMembership()
    configuration: Configuration = EMPTY_CONFIGURATION
    previous: Configuration | None = None
    installed_us: int = 0
    rollouts: tuple[RolloutState, ...] = ()
    state_bytes: bytes = b""
    newest_epoch: int = 0
    newest_sources: list[str] = field(default_factory=list)
    leases: dict[int, int] = field(default_factory=dict)  # epoch -> expiry time
    lease_asked_us: int = -(10**12)
    first_leased_epoch: int | None = None
    has_left: bool = False  # left in an orderly way: it no longer serves or confirms
    served_version: int = 0  # newest version served before a restart, as reported by peers
    confirmed_epochs: dict[str, ConfirmedEpoch] = field(default_factory=dict)

    def install(self, *, doc: StateDoc, configuration: Configuration, now_us: int) -> bool:
        """Install a state; false unless it is newer and belongs to this edge's cluster."""
        if self.cluster and doc.cluster != self.cluster:
            return False
        if doc.epoch <= self.epoch:
            return False
        self.cluster = doc.cluster
        self.epoch = doc.epoch
        self.membership = EdgeMembership.of(names=doc.membership, observers=doc.observers)
        self.rollouts = tuple(doc.rollouts)
        self.state_bytes = bytes(doc)
        self.newest_epoch = max(self.newest_epoch, doc.epoch)
        if doc.version > self.configuration.version:
            self.previous = self.configuration
            self.configuration = configuration
            self.installed_us = now_us
        return True

    def note_epoch(self, *, epoch: int, source: str) -> bool:
        """Record that `source` knows of this epoch; true if a newer epoch has to be fetched."""
        if epoch > self.newest_epoch:
            self.newest_epoch = epoch
            self.newest_sources = []
        if epoch == self.newest_epoch and source and source not in self.newest_sources:
            self.newest_sources.append(source)
        return self.newest_epoch > self.epoch

    def record_lease(self, *, reply: LeaseReply, sent_us: int) -> None:
        """Record a granted lease, which runs from `sent_us`, when it was requested."""
        if not reply.is_granted or self.cluster and reply.cluster != self.cluster:
            return
        until_us = sent_us + reply.span_us
        self.lease_asked_us = max(self.lease_asked_us, sent_us)
        self.leases[reply.epoch] = max(self.leases.get(reply.epoch, 0), until_us)
        while len(self.leases) > MAX_LEASED_EPOCHS:
            del self.leases[min(self.leases)]
        if reply.epoch > self.newest_epoch:
            self.newest_epoch, self.newest_sources = reply.epoch, []
        if self.first_leased_epoch is None:
            self.first_leased_epoch = reply.epoch

    def may_confirm(self, *, now_us: int) -> bool:
        """True if this edge may confirm its epoch to others.

        It needs a lease since it started: without one, it may have lost a newer epoch. An
        observer may confirm only for a limited time after its last lease for what it has
        installed, because the leader waits no longer than that for it.
        """
        if self.has_left or self.first_leased_epoch is None:
            return False
        if self.epoch < self.first_leased_epoch:
            return False
        if not self.membership.is_observer(self.me):
            return True
        return now_us < self.lease_until_us() + CONFIRMS_AFTER_LEASE_US

    @property
    def has_had_no_lease(self) -> bool:
        """True if this edge has had no lease since it started."""
        return self.first_leased_epoch is None

    def on_epoch_confirmed(self, *, reply: ConfirmEpochReply, asked_us: int) -> None:
        """Record a peer's reply, which is valid from `asked_us`, when the peer was asked."""
        self.served_version = max(self.served_version, reply.asker_version)
        if reply.cluster != self.cluster or not reply.vouches:
            return
        known = self.confirmed_epochs.get(reply.edge)
        if known is None or known.asked_us < asked_us:
            self.confirmed_epochs[reply.edge] = ConfirmedEpoch(asked_us=asked_us, epoch=reply.epoch)

    def lease_until_us(self) -> int:
        """The time until which this edge may serve what it has installed.

        A lease for an older epoch stays valid until it expires, even if there is one for an
        epoch that is not yet installed: the leader waits for it to expire before it
        acknowledges the newer epoch.
        """
        return max((u for epoch, u in self.leases.items() if epoch <= self.epoch), default=-1)

    def has_lease(self, *, now_us: int) -> bool:
        """True if a lease covers what is installed here."""
        return not self.has_left and now_us < self.lease_until_us()

    def confirming_members(self, *, now_us: int) -> list[str]:
        """Members whose confirmation is still valid, including this edge if it may confirm."""
        out = [
            name
            for name in self.membership.names
            if name != self.me
            and name in self.confirmed_epochs
            and now_us - self.confirmed_epochs[name].asked_us < CONFIRMATION_TTL_US
        ]
        is_confirming = self.me in self.membership.names and self.may_confirm(now_us=now_us)
        return out + ([self.me] if is_confirming else [])

    def has_majority(self, *, now_us: int) -> bool:
        """True if a majority confirms that nothing newer is acknowledged.

        Only installed epochs count: once an epoch is acknowledged, the members that lack it
        and may still confirm are no majority. An epoch that members only know of may be lost
        together with the cores that announced it, and must not stop the fleet permanently.
        """
        if self.first_leased_epoch is None:
            is_member = self.me in self.membership.names
            if not is_member or self.configuration.version < self.served_version:
                return False
        elif self.epoch < self.first_leased_epoch:
            return False
        names = self.confirming_members(now_us=now_us)
        if self._has_newer_peer(names=names):
            return False
        return self.membership.has_majority(names)

    def _has_newer_peer(self, *, names: list[str]) -> bool:
        confirmed = self.confirmed_epochs
        return any(confirmed[name].epoch > self.epoch for name in names if name != self.me)

    def refusal(self, *, now_us: int) -> str:
        """The reason why this edge may not serve now; empty if it may."""
        if self.has_left:
            return "left"
        if not self.configuration.version:
            return "no configuration"
        if self.has_lease(now_us=now_us) or self.has_majority(now_us=now_us):
            return ""
        names = self.confirming_members(now_us=now_us)
        if self._has_newer_peer(names=names):
            return f"a peer has a newer epoch than {self.epoch}"
        return f"no lease, and {len(names)} of {len(self.membership.names)} peers vouch"

    def is_superseded(self, *, version: int, now_us: int) -> bool:
        """True if requests of this version must no longer run here."""
        if version == self.configuration.version:
            return False
        if version > self.configuration.version:
            return False
        is_last = self.previous is not None and version == self.previous.version
        return not is_last or now_us - self.installed_us > PREVIOUS_CONFIGURATION_US

    def configuration_for(self, *, version: int, now_us: int) -> Configuration | None:
        """The configuration for a query of this version; `None` if it is not available."""
        if version == self.configuration.version:
            return self.configuration
        is_previous = self.previous is not None and version == self.previous.version
        if is_previous and now_us - self.installed_us <= PREVIOUS_CONFIGURATION_US:
            return self.previous
        return None
