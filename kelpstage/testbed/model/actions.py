"""The actions of a walk, each a function of the modelled system and two small numbers.

An action that is not possible in the current state (a crash of a machine that is down, a
delivery when no message is in flight) does nothing.
"""

from __future__ import annotations

from typing import Callable

from kelpstage.common.rollouts.condition import RolloutCondition
from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model.calls import OrderCall, ReadCall
from kelpstage.testbed.model.cluster import Cluster
from kelpstage.testbed.model.rollouts import SERVICES, VERSIONS, RolloutChangeCall

LOST_CONTACT_US = 1_500_000  # a time step this long counts every machine as faulty
TICK_STEPS_US = (1_000, 20_000, 100_000, 400_000, 1_700_000, 3_000_000)
FAULT_FREE_ACTIONS = frozenset(
    {
        "rounds",
        "busy",
        "order",
        "repeat",
        "rollout",
        "repeat_rollout",
        "change_rollout",
        "read",
        "renew",
        "snapshot",
        "fill",
    }
)

ActionFunction = Callable[[Cluster, int, int], None]
ACTIONS: dict[str, ActionFunction] = {}


def action(perform: ActionFunction) -> ActionFunction:
    """Register an action under its function's name."""
    ACTIONS[perform.__name__] = perform
    return perform


@action
def deliver(cluster: Cluster, a: int, b: int) -> None:
    """Deliver message `a` of those in flight."""
    if cluster.packets:
        cluster.deliver(cluster.remove_packet(a))


@action
def drop(cluster: Cluster, a: int, b: int) -> None:
    """Drop message `a` of those in flight."""
    if cluster.packets:
        cluster.remove_packet(a)


@action
def duplicate(cluster: Cluster, a: int, b: int) -> None:
    """Deliver message `a` of those in flight and keep it in flight."""
    if cluster.packets:
        cluster.deliver(cluster.packets[a % len(cluster.packets)])


@action
def tick(cluster: Cluster, a: int, b: int) -> None:
    """Advance the clock by step `b` of `TICK_STEPS_US` and run the timer of machine `a`."""
    node = cluster.node_at(a)
    step_us = TICK_STEPS_US[b % len(TICK_STEPS_US)]
    cluster.now_us += step_us
    if step_us >= LOST_CONTACT_US:
        cluster.faulty.update(cluster.nodes)  # no machine received a message for that long
    if node.is_running:
        node.tick()


@action
def sync(cluster: Cluster, a: int, b: int) -> None:
    """Sync the `1 + b` oldest unsynced writes of machine `a` to its disk."""
    node = cluster.node_at(a)
    if node.is_running:
        node.sync(count=1 + b)


@action
def crash(cluster: Cluster, a: int, b: int) -> None:
    """Kill the process of machine `a`; its `b // 2` oldest unsynced writes are on disk anyway.

    With an odd `b`, a snapshot that is the next unsynced write is on disk without its segment.
    """
    node = cluster.node_at(a)
    if node.is_up:
        cluster.faulty.add(node.address)
        node.crash(kept=b // 2, is_torn=bool(b % 2))
        cluster.sessions.node_ended(node=node)
        cluster.checks.disks_changed()


@action
def power(cluster: Cluster, a: int, b: int) -> None:
    """Cut the power of all machines except those in the bit mask `b`, and start them again."""
    for position, node in enumerate(cluster.nodes.values()):
        if b >> position & 1:
            continue
        was_faulty = node.address in cluster.faulty
        crash(cluster, position, 0)
        node.start()
        if not was_faulty:
            cluster.faulty.discard(node.address)  # a power loss makes no machine faulty


@action
def start(cluster: Cluster, a: int, b: int) -> None:
    """Start the process of machine `a` if it is down."""
    node = cluster.node_at(a)
    if not node.is_up:
        node.start()


@action
def wipe(cluster: Cluster, a: int, b: int) -> None:
    """Lose the disk of machine `a` permanently, if the scope's tolerance allows one more loss."""
    node = cluster.node_at(a)
    cluster.clear_repaired_faults()
    if len(cluster.faulty | {node.address}) > cluster.scope.tolerance:
        return
    cluster.faulty.add(node.address)
    node.replace_disk()
    cluster.sessions.node_ended(node=node)
    cluster.checks.disks_changed()
    node.start()


@action
def freeze(cluster: Cluster, a: int, b: int) -> None:
    """Suspend the process of machine `a`."""
    node = cluster.node_at(a)
    if node.is_running:
        cluster.faulty.add(node.address)
        node.is_frozen = True


@action
def wake(cluster: Cluster, a: int, b: int) -> None:
    """Resume the suspended process of machine `a`."""
    node = cluster.node_at(a)
    if node.is_frozen:
        node.is_frozen = False
        node.tick()


@action
def cut(cluster: Cluster, a: int, b: int) -> None:
    """Block the link from machine `a` to machine `b`, in this direction only."""
    source, to = cluster.node_at(a).address, cluster.node_at(b).address
    if source != to:
        cluster.faulty.add(source)
        cluster.blocked_links.add((source, to))


@action
def isolate(cluster: Cluster, a: int, b: int) -> None:
    """Isolate machine `a` from all others.

    With `b` 1 only what it sends is blocked, with `b` 2 only what it receives.
    """
    one = cluster.node_at(a).address
    cluster.faulty.add(one)
    for other in cluster.nodes:
        if other == one:
            continue
        if b != 2:
            cluster.blocked_links.add((one, other))
        if b != 1:
            cluster.blocked_links.add((other, one))


@action
def halves(cluster: Cluster, a: int, b: int) -> None:
    """Partition the machines into two halves; the first half begins at machine `a`.

    No machine counts as faulty because of it, so that as many disks may be lost during the
    partition as at any other time.
    """
    names = list(cluster.nodes)
    rotated = names[a % len(names) :] + names[: a % len(names)]
    left, right = rotated[: len(names) // 2], rotated[len(names) // 2 :]
    for one in left:
        for other in right:
            cluster.blocked_links |= {(one, other), (other, one)}


@action
def heal(cluster: Cluster, a: int, b: int) -> None:
    """End all network partitions between machines."""
    cluster.blocked_links.clear()


@action
def snapshot(cluster: Cluster, a: int, b: int) -> None:
    """Begin a snapshot on machine `a`."""
    node = cluster.node_at(a)
    if node.is_running:
        node.take_snapshot()


@action
def fetch(cluster: Cluster, a: int, b: int) -> None:
    """Advance a snapshot transfer of machine `a` by one stage."""
    node = cluster.node_at(a)
    if node.is_running and node.fetches:
        node.advance_fetch(position=b)


@action
def transfer(cluster: Cluster, a: int, b: int) -> None:
    """Ask machine `a` to transfer its leadership."""
    node = cluster.node_at(a)
    if node.is_running:
        node.step(core.TransferLeadership())


@action
def leave(cluster: Cluster, a: int, b: int) -> None:
    """Begin a planned, permanent stop of machine `a`, only while no machine is faulty."""
    node = cluster.node_at(a)
    cluster.clear_repaired_faults()
    if node.is_running and not cluster.faulty:
        cluster.faulty.add(node.address)
        node.is_leaving = True


@action
def order(cluster: Cluster, a: int, b: int) -> None:
    """Send the current or next order of operator `a` to machine `b`."""
    if not cluster.sessions.operators:
        return
    operator = cluster.sessions.operators[f"op{a % cluster.scope.operators}"]
    call = OrderCall(order=operator.next_order())
    cluster.send(source=operator.name, to=cluster.node_at(b).address, body=call)


@action
def repeat(cluster: Cluster, a: int, b: int) -> None:
    """Send an acknowledged order of operator `a` again, to any machine."""
    if not cluster.sessions.operators:
        return
    operator = cluster.sessions.operators[f"op{a % cluster.scope.operators}"]
    if operator.acknowledged:
        order = operator.acknowledged[b // len(cluster.nodes) % len(operator.acknowledged)]
        cluster.send(
            source=operator.name, to=cluster.node_at(b).address, body=OrderCall(order=order)
        )


@action
def rollout(cluster: Cluster, a: int, b: int) -> None:
    """Send the open or a new order of a rollout to machine `b`; `a` selects service and version."""
    service = SERVICES[a % len(SERVICES)]
    target = VERSIONS[a // len(SERVICES) % len(VERSIONS)]
    call = cluster.sessions.rollouts.next_call(service=service, target=target)
    if call is not None:
        cluster.send(source="op0", to=cluster.node_at(b).address, body=call)


@action
def repeat_rollout(cluster: Cluster, a: int, b: int) -> None:
    """Send an acknowledged order of a rollout again to machine `b`."""
    call = cluster.sessions.rollouts.repeated_call(position=a)
    if call is not None:
        cluster.send(source="op0", to=cluster.node_at(b).address, body=call)


@action
def change_rollout(cluster: Cluster, a: int, b: int) -> None:
    """Let the leader raise the share of service `a`'s rollout, or end it; `b` selects which."""
    leader = cluster.leader()
    if leader is not None:
        change = RolloutChangeCall(
            service=SERVICES[a % len(SERVICES)],
            condition=RolloutCondition(b % len(RolloutCondition)),
        )
        cluster.sessions.change_rollout(node=leader, change=change)


@action
def read(cluster: Cluster, a: int, b: int) -> None:
    """Send a configuration read of the first operator to machine `a`."""
    call = ReadCall(floor=cluster.checks.newest_version)
    cluster.send(source="op0", to=cluster.node_at(a).address, body=call)


@action
def renew(cluster: Cluster, a: int, b: int) -> None:
    """Send a lease request of edge `a` to machine `b`."""
    if cluster.sessions.edges.by_name:
        edge = cluster.sessions.edges.at(a)
        if not edge.lease_holder.has_left:
            cluster.sessions.edges.renew(edge=edge, to=cluster.node_at(b).address)


@action
def restart_edge(cluster: Cluster, a: int, b: int) -> None:
    """Restart edge `a`."""
    if cluster.sessions.edges.by_name:
        cluster.sessions.edges.restart(edge=cluster.sessions.edges.at(a))


@action
def leave_edge(cluster: Cluster, a: int, b: int) -> None:
    """Let edge `a` leave gracefully, with a message to machine `b`."""
    if cluster.sessions.edges.by_name:
        edge = cluster.sessions.edges.at(a)
        cluster.sessions.edges.leave(edge=edge, to=cluster.node_at(b).address)


@action
def replace_edge(cluster: Cluster, a: int, b: int) -> None:
    """Replace edge `a`, if it is an observer, by one with a new name."""
    if cluster.sessions.edges.by_name and cluster.sessions.edges.at(a).is_observer:
        edge = cluster.sessions.edges.at(a)
        cluster.muted_edges.discard(edge.name)
        cluster.sessions.edges.replace(edge=edge)


@action
def mute(cluster: Cluster, a: int, b: int) -> None:
    """Isolate edge `a` from all cores, or connect it again if it is isolated."""
    if cluster.sessions.edges.by_name:
        cluster.muted_edges ^= {cluster.sessions.edges.at(a).name}


@action
def mute_most(cluster: Cluster, a: int, b: int) -> None:
    """Isolate all observers from all cores, and with an odd `b` also edge `a`."""
    edges = cluster.sessions.edges.by_name.values()
    cluster.muted_edges |= {edge.name for edge in edges if edge.is_observer}
    if edges and b % 2:
        cluster.muted_edges.add(cluster.sessions.edges.at(a).name)


@action
def unmute(cluster: Cluster, a: int, b: int) -> None:
    """Connect all isolated edges again."""
    cluster.muted_edges.clear()


@action
def fill(cluster: Cluster, a: int, b: int) -> None:
    """Propose `a` entries at the leader that change no state."""
    leader = cluster.leader()
    for _ in range(a if leader is not None else 0):
        leader.step(core.Propose(kind=core.NOOP, data=b"", token=0))


@action
def rounds(cluster: Cluster, a: int, b: int) -> None:
    """Run `a` rounds; in each, all messages arrive, all disks sync and all timers run."""
    for _ in range(a):
        cluster.run_round()


@action
def busy(cluster: Cluster, a: int, b: int) -> None:
    """Run `a` rounds, and send an order of every operator to the leader in each."""
    for _ in range(a):
        leader = cluster.leader()
        if leader is not None:
            position = list(cluster.nodes).index(leader.address)
            for number in range(cluster.scope.operators):
                order(cluster, number, position)
        cluster.run_round()
