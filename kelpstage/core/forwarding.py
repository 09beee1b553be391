"""Forwarding of operators' calls to the leader.

Large bodies are compressed between cores.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectionLostError
from kelpstage.common.transport import frames
from kelpstage.common.transport.delta import apply_delta, pack_delta
from kelpstage.common.transport.messages import (
    ForwardOperatorCall,
    ForwardOperatorCallReply,
)
from kelpstage.core.context import OperatorContext

PACKED_FROM_BYTES = 4 * 1024  # smaller bodies are sent uncompressed
Forwarded = TypeVar("Forwarded", ForwardOperatorCall, ForwardOperatorCallReply)


def pack_body(*, message: Forwarded) -> Forwarded:
    """The same message with a large body compressed, for the transport between cores.

    >>> packed = pack_body(message=ForwardOperatorCallReply(status=200, body=b"route " * 1000))
    >>> len(packed.packed) < 100, packed.body, unpack_body(message=packed).body == b"route " * 1000
    (True, b'', True)
    """
    if len(message.body) < PACKED_FROM_BYTES:
        return message
    return replace(message, body=b"", packed=pack_delta(base=b"", target=message.body))


def unpack_body(*, message: Forwarded) -> Forwarded | None:
    """The message with its body decompressed; None if the bytes are damaged.

    >>> unpack_body(message=ForwardOperatorCallReply(packed=b"junk")) is None
    True
    """
    if not message.packed:
        return message
    body = apply_delta(base=b"", delta=message.packed)
    return None if body is None else replace(message, body=body, packed=b"")


async def forward_to_leader(
    *, core: OperatorContext, request: ForwardOperatorCall
) -> ForwardOperatorCallReply | KelpstageError:
    """Forward an operator's call to the leader, on the bulk channel.

    The caller has checked that a leader is known.
    """
    address = core.task.leader_address if core.task else ""
    reply: ForwardOperatorCallReply | KelpstageError = await core.transport.call(
        address=address,
        message=pack_body(message=request),
        wait_us=request.wait_us * 19 // 20,  # leaves time to report an unresponsive leader
        channel=frames.BULK,
    )
    if not isinstance(reply, ForwardOperatorCallReply):
        return reply
    return unpack_body(message=reply) or ConnectionLostError(address=address, why="unreadable body")
