"""Machines of a live fleet that are gone for good, and empty ones that come under new names."""

from __future__ import annotations

import json
import os

from kelpstage.testbed.fleet.deployment import Node
from kelpstage.testbed.fleet.fleet import Fleet


def add_node(*, fleet: Fleet, node: Node) -> None:
    """Start the processes of an empty machine, at addresses that none had before."""
    take = fleet.processes.ports.take
    fleet.edge_own[node.name], fleet.edge_http[node.name] = take(), take()
    fleet.deployment.nodes.append(node)
    fleet.platform.nodes[node.name] = (node.zone, fleet.edge_http[node.name])
    if node.has_disk:
        fleet.core_own[node.name], fleet.core_http[node.name] = take(), take()
        fleet.core_nodes.append(node)
        write_seeds(fleet=fleet)
        fleet.start_core(name=node.name)
    fleet.start_edge(name=node.name)
    fleet.note({"event": "started", "edge": node.name})


def forget_node(*, fleet: Fleet, name: str) -> None:
    """A machine whose processes have ended is no part of the fleet any more."""
    fleet.deployment.nodes[:] = [node for node in fleet.deployment.nodes if node.name != name]
    fleet.core_nodes[:] = [node for node in fleet.core_nodes if node.name != name]
    fleet.platform.nodes.pop(name, None)
    for addresses in (fleet.edge_own, fleet.edge_http, fleet.core_own, fleet.core_http):
        addresses.pop(name, None)
    write_seeds(fleet=fleet)


def write_seeds(*, fleet: Fleet) -> None:
    """Write the cores that there are as seeds into every settings file, as the platform does
    when its list changes; a process reads them at its next start or SIGHUP."""
    seeds = list(fleet.core_own.values())
    for name in fleet.processes.all:
        path = fleet.folder / f"{name}.json"
        if not path.exists():
            continue  # a host of stand-ins has none
        settings = json.loads(path.read_text(encoding="utf-8"))
        fresh = path.with_suffix(".fresh")
        fresh.write_text(json.dumps(settings | {"seeds": seeds}, indent=1), encoding="utf-8")
        os.replace(fresh, path)


async def has_voters(*, fleet: Fleet, names: list[str]) -> bool:
    """Are the cores of these machines, and no others, the voters that the leader has?"""
    leader = await fleet.leader()
    if leader is None:
        return False
    view = await fleet.get(address=fleet.core_http[leader], path="/v1/status")
    members = (view or {}).get("members", [])
    voters = {member["address"] for member in members if member["is_voter"]}
    return voters == {fleet.core_own[name] for name in names}
