"""The actions of a walk, each a function on the modelled system and two small numbers.

An action that does not fit the state it meets (a crash of a machine that is down, a
delivery where nothing travels) does nothing.
"""

from __future__ import annotations

from typing import Callable

from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model.calls import OrderCall, ReadCall
from kelpstage.testbed.model.cluster import Cluster

SILENCE_US = 1_500_000
STEPS_US = (1_000, 20_000, 100_000, 400_000, 1_700_000, 3_000_000)
CALM_ACTIONS = frozenset({"rounds", "busy", "order", "repeat", "read", "renew", "snapshot", "fill"})

Perform = Callable[[Cluster, int, int], None]
ACTIONS: dict[str, Perform] = {}


def action(perform: Perform) -> Perform:
    """Register an action under its function's name."""
    ACTIONS[perform.__name__] = perform
    return perform


@action
def deliver(cluster: Cluster, a: int, b: int) -> None:
    """A message under way arrives."""
    if cluster.packets:
        cluster.deliver(cluster.take_packet(a))


@action
def drop(cluster: Cluster, a: int, b: int) -> None:
    """A message under way is lost."""
    if cluster.packets:
        cluster.take_packet(a)


@action
def duplicate(cluster: Cluster, a: int, b: int) -> None:
    """A message under way arrives, and stays under way."""
    if cluster.packets:
        cluster.deliver(cluster.packets[a % len(cluster.packets)])


@action
def tick(cluster: Cluster, a: int, b: int) -> None:
    """Time passes, and one machine looks at its clock."""
    node = cluster.node_at(a)
    step_us = STEPS_US[b % len(STEPS_US)]
    cluster.now_us += step_us
    if step_us >= SILENCE_US:
        cluster.lost.update(cluster.nodes)  # no messages were received for that long
    if node.runs:
        node.tick()


@action
def sync(cluster: Cluster, a: int, b: int) -> None:
    """A disk takes the oldest of its machine's unsynced writes."""
    node = cluster.node_at(a)
    if node.runs:
        node.sync(count=1 + b)


@action
def crash(cluster: Cluster, a: int, b: int) -> None:
    """A process is killed; `b` of its unsynced writes are on disk all the same, and
    an odd one finds a snapshot there without its segment."""
    node = cluster.node_at(a)
    if node.is_up:
        cluster.lost.add(node.address)
        node.crash(kept=b // 2, is_torn=bool(b % 2))
        cluster.sessions.node_ended(node=node)
        cluster.checks.disks_changed()


@action
def power(cluster: Cluster, a: int, b: int) -> None:
    """All machines lose power and start again, but for those in the bits of `b`."""
    for place, node in enumerate(cluster.nodes.values()):
        if b >> place & 1:
            continue
        was_lost = node.address in cluster.lost
        crash(cluster, place, 0)
        node.start()
        if not was_lost:
            cluster.lost.discard(node.address)  # a power cut of all counts for none


@action
def start(cluster: Cluster, a: int, b: int) -> None:
    """A process that is down starts."""
    node = cluster.node_at(a)
    if not node.is_up:
        node.start()


@action
def wipe(cluster: Cluster, a: int, b: int) -> None:
    """A disk is lost for good, if the deployment says that this is to be borne."""
    node = cluster.node_at(a)
    cluster.note_repairs()
    if len(cluster.lost | {node.address}) > cluster.scope.tolerance:
        return
    cluster.lost.add(node.address)
    node.replace_disk()
    cluster.sessions.node_ended(node=node)
    cluster.checks.disks_changed()
    node.start()


@action
def freeze(cluster: Cluster, a: int, b: int) -> None:
    """A process stands still."""
    node = cluster.node_at(a)
    if node.runs:
        cluster.lost.add(node.address)
        node.is_frozen = True


@action
def wake(cluster: Cluster, a: int, b: int) -> None:
    """A frozen process goes on."""
    node = cluster.node_at(a)
    if node.is_frozen:
        node.is_frozen = False
        node.tick()


@action
def cut(cluster: Cluster, a: int, b: int) -> None:
    """One way."""
    source, to = cluster.node_at(a).address, cluster.node_at(b).address
    if source != to:
        cluster.lost.add(source)
        cluster.cuts.add((source, to))


@action
def isolate(cluster: Cluster, a: int, b: int) -> None:
    """Both ways, or with `b` 1 only what the machine sends, with 2 only what it receives."""
    one = cluster.node_at(a).address
    cluster.lost.add(one)
    for other in cluster.nodes:
        if other == one:
            continue
        if b != 2:
            cluster.cuts.add((one, other))
        if b != 1:
            cluster.cuts.add((other, one))


@action
def halves(cluster: Cluster, a: int, b: int) -> None:
    """All machines fall into two halves, the first of them from the machine of number `a` on.

    Nobody counts as lost by it: as many disks may be lost meanwhile as at any other time.
    """
    names = list(cluster.nodes)
    turned = names[a % len(names) :] + names[: a % len(names)]
    left, right = turned[: len(names) // 2], turned[len(names) // 2 :]
    for one in left:
        for other in right:
            cluster.cuts |= {(one, other), (other, one)}


@action
def heal(cluster: Cluster, a: int, b: int) -> None:
    """All cuts of the network end."""
    cluster.cuts.clear()


@action
def snapshot(cluster: Cluster, a: int, b: int) -> None:
    """A machine takes a snapshot."""
    node = cluster.node_at(a)
    if node.runs:
        node.take_snapshot()


@action
def fetch(cluster: Cluster, a: int, b: int) -> None:
    """A transfer of a snapshot goes one stage further."""
    node = cluster.node_at(a)
    if node.runs and node.fetches:
        node.advance_fetch(place=b)


@action
def transfer(cluster: Cluster, a: int, b: int) -> None:
    """A leader is asked to hand over."""
    node = cluster.node_at(a)
    if node.runs:
        node.take(core.TransferLeadership())


@action
def leave(cluster: Cluster, a: int, b: int) -> None:
    """A planned stop, begun only while nothing is lost."""
    node = cluster.node_at(a)
    cluster.note_repairs()
    if node.runs and not cluster.lost:
        cluster.lost.add(node.address)
        node.is_leaving = True


@action
def order(cluster: Cluster, a: int, b: int) -> None:
    """An operator sends its order."""
    if not cluster.sessions.operators:
        return
    operator = cluster.sessions.operators[f"op{a % cluster.scope.operators}"]
    call = OrderCall(order=operator.order())
    cluster.send(source=operator.name, to=cluster.node_at(b).address, body=call)


@action
def repeat(cluster: Cluster, a: int, b: int) -> None:
    """An order that was acknowledged is sent again, at any node."""
    if not cluster.sessions.operators:
        return
    operator = cluster.sessions.operators[f"op{a % cluster.scope.operators}"]
    if operator.acknowledged:
        order = operator.acknowledged[b // len(cluster.nodes) % len(operator.acknowledged)]
        cluster.send(
            source=operator.name, to=cluster.node_at(b).address, body=OrderCall(order=order)
        )


@action
def read(cluster: Cluster, a: int, b: int) -> None:
    """The first operator reads the configuration."""
    call = ReadCall(floor=cluster.checks.newest_version)
    cluster.send(source="op0", to=cluster.node_at(a).address, body=call)


@action
def renew(cluster: Cluster, a: int, b: int) -> None:
    """An edge asks for a lease."""
    if cluster.sessions.edges.by_name:
        edge = cluster.sessions.edges.at(a)
        if not edge.lease_holder.has_left:
            cluster.sessions.edges.renew(edge=edge, to=cluster.node_at(b).address)


@action
def restart_edge(cluster: Cluster, a: int, b: int) -> None:
    """An edge starts again."""
    if cluster.sessions.edges.by_name:
        cluster.sessions.edges.restart(edge=cluster.sessions.edges.at(a))


@action
def leave_edge(cluster: Cluster, a: int, b: int) -> None:
    """An edge leaves in order."""
    if cluster.sessions.edges.by_name:
        edge = cluster.sessions.edges.at(a)
        cluster.sessions.edges.leave(edge=edge, to=cluster.node_at(b).address)


@action
def replace_edge(cluster: Cluster, a: int, b: int) -> None:
    """An observer is gone for good, and one of another name comes."""
    if cluster.sessions.edges.by_name and cluster.sessions.edges.at(a).is_observer:
        edge = cluster.sessions.edges.at(a)
        cluster.muted.discard(edge.name)
        cluster.sessions.edges.replace(edge=edge)


@action
def mute(cluster: Cluster, a: int, b: int) -> None:
    """An edge is cut off from all cores, or no longer so."""
    if cluster.sessions.edges.by_name:
        cluster.muted ^= {cluster.sessions.edges.at(a).name}


@action
def mute_most(cluster: Cluster, a: int, b: int) -> None:
    """All observers are cut off from all cores, and with an odd `b` one voter as well."""
    edges = cluster.sessions.edges.by_name.values()
    cluster.muted |= {edge.name for edge in edges if edge.is_observer}
    if edges and b % 2:
        cluster.muted.add(cluster.sessions.edges.at(a).name)


@action
def unmute(cluster: Cluster, a: int, b: int) -> None:
    """No edge is cut off any more."""
    cluster.muted.clear()


@action
def fill(cluster: Cluster, a: int, b: int) -> None:
    """The leader's log grows by `a` entries that change no state."""
    leader = cluster.leader()
    for _ in range(a if leader is not None else 0):
        leader.take(core.Propose(kind=core.NOOP, data=b"", token=0))


@action
def rounds(cluster: Cluster, a: int, b: int) -> None:
    """Rounds in which all that travels arrives, all disks sync and all clocks tick."""
    for _ in range(a):
        cluster.run_round()


@action
def busy(cluster: Cluster, a: int, b: int) -> None:
    """Rounds with orders of all operators at the leader."""
    for _ in range(a):
        leader = cluster.leader()
        if leader is not None:
            place = list(cluster.nodes).index(leader.address)
            for number in range(cluster.scope.operators):
                order(cluster, number, place)
        cluster.run_round()
