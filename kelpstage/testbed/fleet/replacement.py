"""Permanent removal of machines from a live fleet, and addition of empty ones under new names."""

from __future__ import annotations

import json
import os

from kelpstage.testbed.fleet.deployment import Node
from kelpstage.testbed.fleet.fleet import Fleet


def add_node(*, fleet: Fleet, node: Node) -> None:
    """Adds an empty machine to the fleet and starts its processes at unused addresses."""
    allocate = fleet.processes.ports.allocate
    fleet.edge_own[node.name], fleet.edge_http[node.name] = allocate(), allocate()
    fleet.deployment.nodes.append(node)
    fleet.platform.nodes[node.name] = (node.zone, fleet.edge_http[node.name])
    if node.has_disk:
        fleet.core_own[node.name], fleet.core_http[node.name] = allocate(), allocate()
        fleet.core_nodes.append(node)
        write_seeds(fleet=fleet)
        fleet.start_core(name=node.name)
    fleet.start_edge(name=node.name)
    fleet.note({"event": "started", "edge": node.name})


def forget_node(*, fleet: Fleet, name: str) -> None:
    """Removes a machine whose processes have ended from the fleet."""
    fleet.deployment.nodes[:] = [node for node in fleet.deployment.nodes if node.name != name]
    fleet.core_nodes[:] = [node for node in fleet.core_nodes if node.name != name]
    fleet.platform.nodes.pop(name, None)
    for addresses in (fleet.edge_own, fleet.edge_http, fleet.core_own, fleet.core_http):
        addresses.pop(name, None)
    write_seeds(fleet=fleet)


def write_seeds(*, fleet: Fleet) -> None:
    """Writes the addresses of the current cores as seeds into every settings file, as the platform
    does when its list changes. A process reads them at its next start or SIGHUP."""
    seeds = list(fleet.core_own.values())
    for name in fleet.processes.all:
        path = fleet.folder / f"{name}.json"
        if not path.exists():
            continue  # a process of stand-in backends has no settings
        settings = json.loads(path.read_text(encoding="utf-8"))
        new_path = path.with_suffix(".fresh")
        new_path.write_text(json.dumps(settings | {"seeds": seeds}, indent=1), encoding="utf-8")
        os.replace(new_path, path)


async def has_voters(*, fleet: Fleet, names: list[str]) -> bool:
    """True if the leader reports exactly the cores of these machines as voters."""
    leader = await fleet.leader()
    if leader is None:
        return False
    view = await fleet.get(address=fleet.core_http[leader], path="/v1/status")
    members = (view or {}).get("members", [])
    voters = {member["address"] for member in members if member["is_voter"]}
    return voters == {fleet.core_own[name] for name in names}
