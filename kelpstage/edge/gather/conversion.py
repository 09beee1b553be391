"""Converts requests and subtrees from and to messages, and outcomes to events and replies."""

from __future__ import annotations

from typing import Any

from kelpstage.common.transport.messages import Gather, Gathered, SubtreeMsg
from kelpstage.edge.events import Ended
from kelpstage.edge.forward.request import ClientRequest, unpack_headers
from kelpstage.edge.gather.messages import GatherResult, SubtreeReply
from kelpstage.edge.gather.request_state import CHILD, RequestState
from kelpstage.edge.gather.tree import Subtree


def subtree_message(*, subtree: Subtree, addresses: dict[str, str]) -> SubtreeMsg:
    """Return a subtree as a message.

    >>> subtree_message(subtree=Subtree(node="a", shards=("s",)), addresses={"a": "x"}).address
    'x'
    """
    return SubtreeMsg(
        node=subtree.node,
        address=addresses.get(subtree.node, ""),
        shards=list(subtree.shards),
        children=[subtree_message(subtree=c, addresses=addresses) for c in subtree.children],
    )


def read_subtree(*, message: SubtreeMsg) -> tuple[Subtree, dict[str, str]]:
    """Return the subtree and the addresses in a message; the inverse of `subtree_message`.

    >>> read_subtree(message=SubtreeMsg(node="a", address="x", shards=["s"]))[1]
    {'a': 'x'}
    """
    addresses = {message.node: message.address}
    children = []
    for child in message.children:
        subtree, inner = read_subtree(message=child)
        children.append(subtree)
        addresses |= inner
    return (
        Subtree(node=message.node, shards=tuple(message.shards), children=tuple(children)),
        addresses,
    )


def child_state(*, key: int, ask: Gather, now_us: int) -> RequestState:
    """Return the state of a subtree query that the root, or another parent, sent to this node."""
    subtree, addresses = read_subtree(message=ask.subtree)
    forwarded: dict[str, Any] = {}
    if ask.target:
        forwarded = {
            "attempts": ask.attempts,
            "aim_us": ask.aim_us,
            "is_far": ask.is_far,
            "request": ClientRequest(
                method=ask.method,
                target=ask.target,
                request_id=ask.request_id,
                headers=unpack_headers(texts=ask.headers),
                body=ask.query,
            ),
        }
    return RequestState(
        **forwarded,
        key=key,
        kind=CHILD,
        collection=ask.collection,
        arrived_us=now_us,
        due_us=now_us + max(ask.wait_us, ask.due_us),
        omit_at_us=now_us + ask.wait_us,
        query=ask.query,
        content_type=ask.content_type,
        limit=ask.limit if ask.has_limit else None,
        root=ask.root,
        query_id=ask.query_id,
        version=ask.version,
        subtree=subtree,
        addresses=addresses,
        is_extra=ask.is_extra,
        search=ask.search,
    )


def ended_event(*, record: RequestState) -> Ended:
    """Return the event for the outcome of a search, or of this node's part of one.

    >>> from kelpstage.common.errors.transport import ConnectError
    >>> from kelpstage.edge.gather.request_state import SINGLE
    >>> record = RequestState(key=1, kind=SINGLE, collection="c", arrived_us=0, due_us=9)
    >>> record.search = "n-1"
    >>> record.outcome = ConnectError(address="a")
    >>> ended_event(record=record).outcome
    'connect_refused'
    """
    outcome, detail = record.outcome, ""
    shards = 1 if record.subtree is None else len(record.subtree.all_shards())
    if isinstance(outcome, GatherResult):
        name = "complete" if outcome.coverage == 1 else "partial"
    elif isinstance(outcome, SubtreeReply):
        name = "stale" if outcome.message.is_stale else "partial"
        if len(record.parts) == shards:
            name = "complete"
    else:
        name, detail = outcome.kind, str(outcome.as_json())
    return Ended(
        search=record.search,
        outcome=name,
        shards_in=len(record.parts),
        shards=shards,
        detail=detail,
    )


def gathered_reply(*, outcome: Any) -> Gathered:
    """Return the reply to the parent; stale for any outcome but a `SubtreeReply`."""
    if isinstance(outcome, SubtreeReply):
        message: Gathered = outcome.message
        return message
    return Gathered(is_stale=True)
