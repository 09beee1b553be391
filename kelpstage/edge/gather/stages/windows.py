"""How long a request waits for a child, for an attempt and for late shards.

Windows are integer microseconds. The percentages apply to the time left or, where a route has
one, to its latency target (`aim_us`).
"""

from __future__ import annotations

from kelpstage.edge.events import OmissionSet
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.request_state import Child, RequestState

MAX_WINDOW_PERCENT = 40  # of the time left: longest window
CHILD_WINDOW_PERCENT = 45  # of the latency target: shortest window of a child
OMISSION_PERCENT = 85  # of the latency target: when an incomplete search is answered
CLIENT_ROUND_TRIP_US = 4_000  # of the latency target, for the way from the client and back


def child_window_us(*, child: Child, record: RequestState, context: GatherContext) -> int:
    """Return a child's window: the round trip to it and time for the windows of its children."""
    least_us = record.route.window_us * (child.subtree.height() + 1)
    if record.aim_us:
        least_us = max(least_us, record.aim_us * CHILD_WINDOW_PERCENT // 100)
    name = child.subtree.node
    round_trip_us = context.round_trip_us(name=name)
    return context.node_window_us(name=name, least_us=least_us + round_trip_us)


def child_window_end_us(*, child: Child, record: RequestState, context: GatherContext) -> int:
    """Return when a child's window ends.

    Where a second attempt after the window could not reply before late shards are omitted, it ends
    with the omission: the child's own partial reply arrives just before.
    """
    round_trip_us = context.round_trip_us(name=child.subtree.node)
    end_us = min(
        context.now_us + child_window_us(child=child, record=record, context=context),
        latest_window_end_us(record=record, context=context) + round_trip_us,
    )
    if record.route.is_strict or end_us + round_trip_us < record.omit_at_us:
        return end_us
    return max(end_us, record.omit_at_us)


def latest_window_end_us(*, record: RequestState, context: GatherContext) -> int:
    """Return the latest end of a window that leaves time for a second attempt."""
    left_us = record.due_us - context.now_us
    if record.aim_us:  # an answer after the target is worth little
        left_us = min(
            left_us, max(record.arrived_us + record.aim_us - context.now_us, 0) or left_us
        )
    return context.now_us + max(record.route.window_us, left_us * MAX_WINDOW_PERCENT // 100)


def set_omission(*, record: RequestState, context: GatherContext) -> None:
    """Set when the root stops waiting for late shards.

    A strict route waits until the deadline, as it needs every shard. Otherwise it is a part of the
    latency target or, without one, twice the longest window, which leaves time for one more
    attempt.
    """
    if record.route.is_strict:
        record.omit_at_us = record.due_us
        return
    if record.aim_us:
        after_us = record.aim_us * OMISSION_PERCENT // 100 - CLIENT_ROUND_TRIP_US
        record.omit_at_us = min(record.due_us, max(record.arrived_us + after_us, context.now_us))
        context.trace.add(
            OmissionSet(search=record.search, after_us=record.omit_at_us - context.now_us)
        )
        return
    windows = [
        attempt.window_end_us - attempt.sent_us
        for shard_state in record.shard_states.values()
        for attempt in shard_state.attempts
    ] + [child_window_us(child=child, record=record, context=context) for child in record.children]
    longest = max(windows, default=record.route.window_us)
    record.omit_at_us = min(record.due_us, context.now_us + 2 * longest)
    context.trace.add(
        OmissionSet(search=record.search, after_us=record.omit_at_us - context.now_us)
    )
