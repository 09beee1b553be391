"""Outgoing Raft messages, held back until the writes that they depend on are synced.

A vote or an acknowledgement may leave only after term, vote and entries are on stable
storage (Raft paper, figure 2: "updated on stable storage before responding to RPCs").
"""

from __future__ import annotations

from collections import deque

from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.transport import frames
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.messages import AppendEntries
from kelpstage.core.raft import types as raft


class OutgoingMessages:
    """Sends messages in the order of their writes; `Send.after` is the number of a write."""

    def __init__(self, *, ports: Ports, transport: Transport) -> None:
        self._ports = ports
        self._transport = transport
        self._held: deque[raft.Send] = deque()
        self._synced = 0

    def send(self, send: raft.Send) -> None:
        """Send a message now, or as soon as its write is synced."""
        if send.after > self._synced:
            self._held.append(send)
            return
        self._dispatch(send)

    def release(self, *, synced: int) -> None:
        """Send the messages that depend on writes up to this number."""
        self._synced = max(self._synced, synced)
        while self._held and self._held[0].after <= self._synced:
            self._dispatch(self._held.popleft())

    def _dispatch(self, send: raft.Send) -> None:
        channel = frames.CONTROL
        if isinstance(send.message, AppendEntries) and raft.is_large(send.message.entries):
            channel = frames.BULK
        self._ports.failpoint("raft.before_send")
        self._transport.send(address=send.to.address, message=send.message, channel=channel)
