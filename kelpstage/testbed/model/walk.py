"""Seeded random walks, the liveness check at their end, and the shrinking of failed walks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from kelpstage.common.rollouts.condition import RolloutCondition
from kelpstage.testbed.model import adapter as core
from kelpstage.testbed.model.checks import LIVENESS, InvariantViolated
from kelpstage.testbed.model.node import Hooks
from kelpstage.testbed.model.rollouts import SERVICES, VERSIONS
from kelpstage.testbed.model.system import Action, Scope, World

CONVERGENCE_ROUNDS = 1_000  # 20 s of virtual time
ORDER_ROUNDS = 500
SHRINK_RUNS = 400

# The weight of each action, for each profile of walks.
CHAOS = {
    "deliver": 300,
    "drop": 12,
    "duplicate": 12,
    "tick": 60,
    "sync": 90,
    "crash": 4,
    "power": 1,
    "start": 12,
    "wipe": 3,
    "freeze": 2,
    "wake": 6,
    "cut": 3,
    "isolate": 2,
    "heal": 6,
    "snapshot": 6,
    "fetch": 20,
    "transfer": 2,
    "leave": 1,
    "order": 30,
    "repeat": 6,
    "read": 8,
    "renew": 15,
    "restart_edge": 1,
    "mute": 2,
    "rounds": 8,
    "busy": 4,
    "fill": 2,
}
LONG = CHAOS | {
    "busy": 40,
    "fill": 30,
    "rounds": 20,
    "wipe": 8,
    "leave": 3,
    "isolate": 6,
    "heal": 10,
    "start": 30,
}
ELECTIONS = CHAOS | {"tick": 120, "crash": 25, "start": 60, "power": 4, "order": 10, "isolate": 8}
CUTS = CHAOS | {
    "mute": 8,
    "isolate": 12,
    "heal": 8,
    "rounds": 25,
    "read": 40,
    "renew": 40,
    "order": 50,
}
EDGES = CUTS | {
    "mute": 12,
    "mute_most": 8,
    "unmute": 10,
    "leave_edge": 3,
    "replace_edge": 3,
    "restart_edge": 4,
    "busy": 40,
    "rounds": 80,
    "isolate": 3,
    "transfer": 4,
}
HALVES = CUTS | {"halves": 15, "heal": 20, "wipe": 5, "isolate": 1}
ROLLOUTS = CUTS | {
    "rollout": 60,
    "repeat_rollout": 15,
    "change_rollout": 60,
    "rounds": 60,
    "order": 10,
    "read": 5,
}
PROFILES = {
    "chaos": CHAOS,
    "long": LONG,
    "elections": ELECTIONS,
    "cuts": CUTS,
    "halves": HALVES,
    "edges": EDGES,
    "rollouts": ROLLOUTS,
}


@dataclass(kw_only=True)
class Walk:
    """All that is needed to replay a walk."""

    scope: Scope
    seed: int
    actions: list[Action] = field(default_factory=list)
    is_settled_at_end: bool = True


@dataclass(kw_only=True)
class Outcome:
    """The result of a walk."""

    walk: Walk
    invariant: str = ""
    detail: str = ""
    steps: int = 0
    entries: int = 0
    terms: int = 0
    acknowledged: int = 0
    membership_changes: int = 0
    snapshots_fetched: int = 0
    rollouts_acknowledged: int = 0
    seconds: float = 0.0

    @property
    def has_passed(self) -> bool:
        """True if all invariants held."""
        return not self.invariant


TICK_STEP_WEIGHTS = (30, 60, 25, 8, 3, 1)  # of TICK_STEPS_US, from 1 ms to 3 s


def choose(*, rand: random.Random, world: World, profile: dict[str, int]) -> Action:
    """Choose the next action of a random walk."""
    name = rand.choices(list(profile), weights=list(profile.values()))[0]
    return Action(
        name, _choose_first_number(name, rand, world), _choose_second_number(name, rand, world)
    )


def _choose_first_number(name: str, rand: random.Random, world: World) -> int:
    if name in ("deliver", "drop", "duplicate"):
        # Mostly the oldest packet, so that the system makes progress; sometimes any packet.
        return 0 if rand.random() < 0.6 else rand.randrange(max(1, len(world.packets)))
    if name in ("rounds", "busy"):
        return rand.choice([1, 3, 10, 30, 90])
    if name == "fill":
        return rand.choice([2, 10, 45])
    if name in ("order", "repeat"):
        return rand.randrange(max(1, world.scope.operators))
    if name in ("rollout", "repeat_rollout", "change_rollout"):
        return rand.randrange(len(SERVICES) * len(VERSIONS))
    if name in ("renew", "mute", "restart_edge", "leave_edge", "replace_edge", "mute_most"):
        return rand.randrange(max(1, world.scope.edges))
    return rand.randrange(world.scope.machines)


def _choose_second_number(name: str, rand: random.Random, world: World) -> int:
    machines = world.scope.machines
    if name == "tick":
        return rand.choices(range(len(TICK_STEP_WEIGHTS)), weights=TICK_STEP_WEIGHTS)[0]
    if name == "sync":
        return rand.choice([0, 0, 1, 9])
    if name == "crash":
        return rand.choice([0, 0, 1, 2, 3, 9])
    if name == "power":
        return rand.choice([0, 0, 1, 2, 4])
    if name == "isolate":
        return rand.randrange(3)
    position = rand.randrange(machines)
    if name == "change_rollout":
        return rand.randrange(len(RolloutCondition))
    if name in ("order", "repeat", "renew", "leave_edge", "rollout", "repeat_rollout"):
        leader = world.leader()
        if leader is not None and rand.random() < 0.8:
            position = list(world.nodes).index(leader.address)
    if name == "repeat":
        position += machines * rand.randrange(320)  # selects one of the acknowledged orders
    return position


def check_liveness(*, world: World) -> None:
    """Repair all faults and checks that the system recovers within bounded virtual time.

    It recovers when there is one leader and all members have its commit index, and then a
    new order is acknowledged.
    """
    world.blocked_links.clear()
    world.muted_edges.clear()
    for edge in world.sessions.edges.by_name.values():
        if edge.lease_holder.has_left:
            world.sessions.edges.restart(edge=edge)
    for node in world.nodes.values():
        if not node.is_up:
            node.start()
        node.is_frozen = False
        node.is_leaving = False
    for _ in range(CONVERGENCE_ROUNDS):
        world.act(Action("rounds", 1))
        if _has_converged(world=world):
            break
    else:
        raise InvariantViolated(
            invariant=LIVENESS, detail=f"not converged: {_describe_nodes(world=world)}"
        )
    before = world.checks.newest_version
    for number in range(ORDER_ROUNDS):
        world.act(Action("busy" if number % 10 == 0 else "rounds", 1))
        if world.checks.newest_version > before and _has_converged(world=world):
            for node in world.nodes.values():
                world.checks.compare_state(node=node)
            return
    if world.scope.operators:
        raise InvariantViolated(
            invariant=LIVENESS,
            detail=f"no new order was acknowledged: {_describe_nodes(world=world)}",
        )


def _has_converged(*, world: World) -> bool:
    nodes = list(world.nodes.values())
    leaders = [node for node in nodes if core.role_of(node.replica) == core.LEADER]
    if len(leaders) != 1:
        return False
    members = core.members_of(leaders[0].replica)
    voters = [member for member in members if member.is_voter]
    if {node.identity for node in nodes} != {member.replica for member in members}:
        return False
    if len(voters) != world.scope.voters:
        return False
    commit = core.commit_index_of(leaders[0].replica)
    return all(core.commit_index_of(node.replica) == commit for node in nodes)


def _describe_nodes(*, world: World) -> str:
    return "; ".join(
        f"{n.identity} {core.role_of(n.replica)} term {core.term_of(n.replica)} commit "
        f"{core.commit_index_of(n.replica)} members "
        + ",".join(m.replica + ("+" if m.is_voter else "") for m in core.members_of(n.replica))
        for n in world.nodes.values()
    )


def random_walk(
    *,
    scope: Scope,
    seed: int,
    steps: int,
    profile: str = "chaos",
    hooks: Hooks | None = None,
) -> Outcome:
    """Run a walk of `steps` actions, chosen by the seed."""
    rand = random.Random(f"walk/{seed}")
    world = World(scope=scope, seed=seed, hooks=hooks)
    walk = Walk(scope=scope, seed=seed)
    try:
        for _ in range(steps):
            action = choose(rand=rand, world=world, profile=PROFILES[profile])
            walk.actions.append(action)
            world.act(action)
        check_liveness(world=world)
    except InvariantViolated as violated:
        walk.is_settled_at_end = violated.invariant == LIVENESS
        return _outcome(world=world, walk=walk, violated=violated)
    return _outcome(world=world, walk=walk, violated=None)


def replay(*, walk: Walk, hooks: Hooks | None = None, make_world: type[World] = World) -> Outcome:
    """Run the actions of a walk again."""
    world = make_world(scope=walk.scope, seed=walk.seed, hooks=hooks)
    try:
        for action in walk.actions:
            world.act(Action(*action))
        if walk.is_settled_at_end:
            check_liveness(world=world)
    except InvariantViolated as violated:
        return _outcome(world=world, walk=walk, violated=violated)
    return _outcome(world=world, walk=walk, violated=None)


def _outcome(*, world: World, walk: Walk, violated: InvariantViolated | None) -> Outcome:
    checks = world.checks
    return Outcome(
        walk=walk,
        invariant=violated.invariant if violated else "",
        detail=violated.detail if violated else "",
        steps=world.steps,
        entries=checks.newest_committed,
        terms=max(checks.leaders, default=0),
        acknowledged=len(checks.acknowledged),
        membership_changes=checks.membership_changes,
        snapshots_fetched=checks.snapshots_installed,
        rollouts_acknowledged=world.sessions.rollouts.acknowledged_count,
        seconds=world.now_us / 1_000_000,
    )


def shrink(*, outcome: Outcome, hooks: Hooks | None = None, runs: int = SHRINK_RUNS) -> Outcome:
    """Return a shorter walk that violates the same invariant.

    It greedily leaves out actions that the failure does not need, from large pieces to
    single actions, and replays at most `runs` candidates.
    """
    best = outcome
    size = max(1, len(best.walk.actions) // 2)
    while runs > 0:
        position, is_shorter = 0, False
        while position < len(best.walk.actions) and runs > 0:
            actions = best.walk.actions
            candidate = Walk(
                scope=best.walk.scope,
                seed=best.walk.seed,
                actions=actions[:position] + actions[position + size :],
                is_settled_at_end=best.walk.is_settled_at_end,
            )
            runs -= 1
            replayed = replay(walk=candidate, hooks=hooks)
            if replayed.invariant == best.invariant:
                best, is_shorter = replayed, True
            else:
                position += size
        if size == 1 and not is_shorter:
            break
        size = max(1, size // 2)
    return best


def as_test(*, outcome: Outcome, is_search: bool = False) -> str:
    """Return a walk as the source of a test method.

    >>> print(as_test(outcome=Outcome(walk=Walk(scope=Scope(), seed=3))).splitlines()[0])
        def test_walk_of_seed_3(self) -> None:
    """
    walk = outcome.walk
    run = "replay_search" if is_search else "replay"
    lines = [
        f"    def test_walk_of_seed_{walk.seed}(self) -> None:",
        f"        # {outcome.invariant}: {outcome.detail}"[:99],
        "        actions = [",
        *(f"            Action({a.name!r}, {a.a}, {a.b})," for a in walk.actions),
        "        ]",
        "        walk = Walk(",
        f"            scope={walk.scope!r},",
        f"            seed={walk.seed},",
        "            actions=actions,",
        f"            is_settled_at_end={walk.is_settled_at_end},",
        "        )",
        f'        self.assertEqual("", {run}(walk=walk).detail)',
    ]
    return "\n".join(lines)
