"""How long a request waits: for a child, for an attempt, for what is late.

Windows are whole microseconds; shares are per cent.
"""

from __future__ import annotations

from kelpstage.edge.events import OmissionSet
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.request_state import Child, RequestState

WINDOW_SHARE = 40  # per cent of the time left
CHILD_SHARE = 45  # per cent of the aim, until a child counts as late
OMIT_SHARE = 85  # per cent of the aim, when a search that need not be complete is answered
CLIENT_US = 4_000  # of the aim, for the client's own way to this node and back


def child_window_us(*, child: Child, record: RequestState, context: GatherContext) -> int:
    """A child's least window leaves room for its own children's."""
    least_us = record.route.window_us * (child.subtree.height() + 1)
    if record.aim_us:
        least_us = max(least_us, record.aim_us * CHILD_SHARE // 100)
    return context.node_window_us(name=child.subtree.node, least_us=least_us)


def latest_us(*, record: RequestState, context: GatherContext) -> int:
    """However far a window was stretched, a second attempt must still have its time."""
    left_us = record.due_us - context.now_us
    if record.aim_us:  # an answer after the aim is worth little
        left_us = min(
            left_us, max(record.arrived_us + record.aim_us - context.now_us, 0) or left_us
        )
    return context.now_us + max(record.route.window_us, left_us * WINDOW_SHARE // 100)


def set_omission(*, record: RequestState, context: GatherContext) -> None:
    """When the root stops waiting for what is late: never, while every shard is
    wanted; else after twice the longest window, room for one more attempt."""
    if record.route.is_strict:
        record.omit_us = record.due_us
        return
    if record.aim_us:
        after_us = record.aim_us * OMIT_SHARE // 100 - CLIENT_US
        record.omit_us = min(record.due_us, max(record.arrived_us + after_us, context.now_us))
        context.trace.add(
            OmissionSet(search=record.search, after_us=record.omit_us - context.now_us)
        )
        return
    windows = [
        attempt.soft_us - attempt.sent_us
        for shard_state in record.shard_states.values()
        for attempt in shard_state.attempts
    ] + [child_window_us(child=child, record=record, context=context) for child in record.children]
    longest = max(windows, default=record.route.window_us)
    record.omit_us = min(record.due_us, context.now_us + 2 * longest)
    context.trace.add(OmissionSet(search=record.search, after_us=record.omit_us - context.now_us))
