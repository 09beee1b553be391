"""Proposals of this replica whose entries are in its log and not yet applied."""

from __future__ import annotations

from typing import NamedTuple

from kelpstage.common.errors.control import WriteUnresolvedError
from kelpstage.common.transport.messages import LogEntry
from kelpstage.core.waiters import Waiters

LEADERSHIP_LOST = "leadership was lost before the commit"


class Proposal(NamedTuple):
    """The waiter's token of a proposal, and the term of its entry."""

    token: int
    term: int


class PendingProposals(dict[int, Proposal]):
    """Proposals by log index; settles the waiter of each.

    The entry that is applied at an index may come from another leader: then the outcome of
    the proposal is unknown here, since a third replica may still hold and commit it.
    """

    def __init__(self, *, waiters: Waiters) -> None:
        super().__init__()
        self._waiters = waiters

    def add(self, *, index: int, token: int, term: int) -> None:
        """Record that the proposal of `token` is the entry with this index and term."""
        self[index] = Proposal(token, term)

    def settle(self, *, entry: LogEntry, outcome: object) -> None:
        """Pass the outcome of an applied entry to the waiter of its proposal, if any."""
        proposal = self.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term != entry.term:
            outcome = WriteUnresolvedError(put_id="", why=LEADERSHIP_LOST)
        self._waiters.settle(token=proposal.token, outcome=outcome)

    def fail_from(self, *, start: int) -> None:
        """Settle as unresolved the proposals from index `start` on: their entries left the log.

        This is not a rejection, since another replica may still hold an entry and commit it.
        """
        for index in [index for index in self if index >= start]:
            proposal = self.pop(index)
            lost = WriteUnresolvedError(put_id="", why=LEADERSHIP_LOST)
            self._waiters.settle(token=proposal.token, outcome=lost)
