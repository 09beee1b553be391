"""Options of a hollow fleet, and why some are refused before anything starts."""

from __future__ import annotations

from dataclasses import dataclass

NODE_BYTES = 700_000
MEMBER_BYTES = 1_900
INSTANCE_BYTES = 1_500
SHARE_OF_MEMORY = 0.5
MOST_NODES, MOST_BACKENDS, MOST_SECONDS = 5_000, 50_000, 7_200


@dataclass(frozen=True, kw_only=True)
class Options:
    """Numbers an hour are spread evenly over the second half of a run."""

    nodes: int
    cores: int = 3
    zones: int = 6
    regions: int = 3
    backends: int = 0
    routes: int = 40
    seconds: int = 30
    changes: int = 0
    failures: int = 0
    seed: int = 1
    zone_loss: bool = False
    core_loss: bool = False
    cut_s: int = 0
    shards: int = 0
    queries: int = 0


@dataclass(frozen=True, kw_only=True)
class Refused:
    """Options that can't be met, and why."""

    why: str


def memory_needed(*, options: Options) -> int:
    """Bytes that such a fleet takes here, by what was measured a node, a member known
    to a node and a backend known to a node.

    >>> memory_needed(options=Options(nodes=100)) // 1_000_000
    89
    """
    a_node = NODE_BYTES + MEMBER_BYTES * options.nodes + INSTANCE_BYTES * options.backends
    return a_node * options.nodes


def check(*, options: Options, memory: int) -> Refused | None:
    """Why these options are refused on a machine of so much memory, if they are.

    >>> check(options=Options(nodes=50), memory=8 << 30) is None
    True
    >>> check(options=Options(nodes=1400, backends=7500), memory=8 << 30).why
    '1400 nodes and 7500 backends need about 20.5 GB here, and half of the memory is 4.3 GB'
    >>> check(options=Options(nodes=2), memory=8 << 30).why
    'nodes: 2 is not between 3 and 5000'
    """
    bounds = {
        "nodes": (3, MOST_NODES),
        "cores": (1, 7),
        "zones": (1, 100),
        "regions": (1, options.zones),
        "backends": (0, MOST_BACKENDS),
        "routes": (1, 2_000),
        "seconds": (5, MOST_SECONDS),
        "changes": (0, 36_000),
        "failures": (0, 3_600),
        "cut_s": (0, MOST_SECONDS),
        "shards": (0, 2_000),
        "queries": (0, 10_000),
    }
    for name, (low, high) in bounds.items():
        value = getattr(options, name)
        if not low <= value <= high:
            return Refused(why=f"{name}: {value} is not between {low} and {high}")
    if options.cores > options.nodes:
        return Refused(why=f"cores: {options.cores} need as many nodes")
    if options.zones > options.nodes:
        return Refused(why=f"zones: {options.zones} are more than {options.nodes} nodes")
    if options.queries and not options.shards:
        return Refused(why="queries: there are no shards to ask")
    if options.cut_s and options.regions < 2:
        return Refused(why="cut: there is only one region")
    needed, half = memory_needed(options=options), int(memory * SHARE_OF_MEMORY)
    if needed > half:
        return Refused(
            why=f"{options.nodes} nodes and {options.backends} backends need about "
            f"{needed / 1e9:.1f} GB here, and half of the memory is {half / 1e9:.1f} GB"
        )
    return None


def memory_of_machine() -> int:
    """Bytes of memory that this machine has, 0 if it does not say.

    >>> memory_of_machine() >= 0
    True
    """
    try:
        with open("/proc/meminfo", encoding="ascii") as file:
            return int(file.readline().split()[1]) * 1024
    except (OSError, ValueError, IndexError):
        return 0
