"""Deployments read from data files (nodes, zones, backends, callers), and the configuration
documents that their operators would write."""

from __future__ import annotations

import hashlib
import json
import pathlib
from dataclasses import dataclass
from typing import Any

from kelpstage.testbed.stand_ins.callers import Kind
from kelpstage.testbed.stand_ins.records import Cut

DATA = pathlib.Path(__file__).resolve().parent.parent / "data"


@dataclass(frozen=True, kw_only=True)
class Node:
    """A machine of a deployment. Each runs an edge; a machine with a disk also runs a core."""

    name: str
    zone: str
    has_disk: bool


@dataclass(frozen=True, kw_only=True)
class BackendSpec:
    """A backend of a deployment: its zone and the shard that it serves under the first cut."""

    name: str
    zone: str
    shard: str


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """A deployment: its machines, backends, route settings and the load of its callers.

    >>> deployment = load(name="senegal")
    >>> len(deployment.nodes), len(deployment.backends), len(deployment.cut.shards)
    (10, 47, 8)
    """

    name: str
    collection: str
    zones: list[str]
    nodes: list[Node]
    backends: list[BackendSpec]
    cut: Cut
    quorum: int
    fan_out: int
    window_us: int
    kinds: list[Kind]

    def recut(self) -> Cut:
        """Returns another cut of the same index, with one shard fewer."""
        return Cut(name="c2", shards=tuple(f"t{n + 1}" for n in range(len(self.cut.shards) - 1)))

    def shards_of(self, *, backend: str) -> tuple[str, ...]:
        """Returns the shards that a backend serves: one of each cut."""
        spec = next(b for b in self.backends if b.name == backend)
        index = self.cut.shards.index(spec.shard)
        recut = self.recut().shards
        return (spec.shard, recut[index % len(recut)])


def load(*, name: str) -> Deployment:
    """Reads the data file of a deployment."""
    raw: dict[str, Any] = json.loads((DATA / f"{name}.json").read_text(encoding="utf-8"))
    [(cut_name, shards)] = raw["cuts"].items()
    return Deployment(
        name=raw["name"],
        collection=raw["collection"],
        zones=raw["zones"],
        nodes=[Node(**row) for row in raw["nodes"]],
        backends=[BackendSpec(**row) for row in raw["backends"]],
        cut=Cut(name=cut_name, shards=tuple(shards)),
        quorum=raw["quorum"],
        fan_out=raw["fan_out"],
        window_us=raw["window_us"],
        kinds=[
            Kind(
                name=row["name"],
                per_second=row["per_second"],
                time_left_us=row["time_left_us"],
                limit=row.get("limit"),
                is_single=row.get("single", False),
            )
            for row in raw["callers"]
        ],
    )


def names() -> list[str]:
    """Returns the names of the available deployments.

    >>> names()
    ['netherlands', 'senegal', 'tiny']
    """
    return sorted(path.stem for path in DATA.glob("*.json"))


def configuration_of(
    *,
    deployment: Deployment,
    addresses: dict[str, str],
    cut: Cut | None = None,
    note: str = "",
    drained: tuple[str, ...] = (),
    left_out: tuple[str, ...] = (),
    padding: int = 0,
) -> bytes:
    """Returns the configuration document that the deployment's operators would write.

    `cut` replaces the deployment's own; `note` is a label of the first node that makes the
    document differ from others. Backends in `left_out` serve no shard, and `padding` is the
    number of additional nodes, which make the document larger.

    >>> configuration_of(deployment=load(name="senegal"), addresses={}).startswith(b"{")
    True
    """
    cut = cut or deployment.cut
    label = "shard" if cut == deployment.cut else "shard2"
    recut = deployment.recut()
    backends = {}
    for spec in deployment.backends:
        labels = {
            "index": "spare" if spec.name in left_out else deployment.collection,
            "shard": spec.shard,
            "shard2": deployment.shards_of(backend=spec.name)[1],
            "domain": spec.zone,
        }
        if spec.name in drained:
            labels["drain"] = "true"
        row: dict[str, Any] = {"labels": labels}
        if spec.name in addresses:
            row["address"] = addresses[spec.name]
        backends[spec.name] = row
    nodes = {
        node.name: {"labels": {"role": "gatherer", "domain": node.zone}}
        for node in deployment.nodes
    }
    if note:
        nodes[deployment.nodes[0].name]["labels"]["note"] = note
    for number in range(padding):
        nodes[f"spare-{number}"] = {"labels": {"role": "spare", "note": "x" * 100}}
    shards = cut.shards if cut in (deployment.cut, recut) else ()
    quorum = min(deployment.quorum, len(shards))
    document = {
        "backends": backends,
        "nodes": nodes,
        "collections": {
            deployment.collection: {
                "order_by": "score",
                "gatherers": {"role": "gatherer"},
                "shards": {
                    shard: {
                        "cut": cut.name,
                        "selector": {"index": deployment.collection, label: shard},
                    }
                    for shard in shards
                },
            }
        },
        "routes": {
            deployment.collection: {
                "FanOut": list(shards),
                "Quorum": quorum,
                "fan_out": deployment.fan_out,
                "window_us": deployment.window_us,
            }
        },
    }
    return json.dumps(document, indent=1).encode()


def digest_of(*, document: bytes) -> str:
    """Returns the digest that identifies a document in the history.

    >>> len(digest_of(document=b""))
    16
    """
    return hashlib.sha256(document).hexdigest()[:16]


def facts_of(*, document: bytes) -> dict:
    """Returns the properties of a written document that checkers use: its cut, its quorum, the
    drained backends and the backends that serve each shard. Empty if it is not valid."""
    try:
        raw = json.loads(document)
        [collection] = raw["collections"].values()
        [route] = raw["routes"].values()
        backends = {name: row["labels"] for name, row in raw["backends"].items()}
        return {
            "cut": next(iter(collection["shards"].values()))["cut"],
            "quorum": route["Quorum"],
            "drained": sorted(n for n, labels in backends.items() if labels.get("drain") == "true"),
            "serves": {
                shard: sorted(
                    name
                    for name, labels in backends.items()
                    if row["selector"].items() <= labels.items()
                )
                for shard, row in collection["shards"].items()
            },
        }
    except (ValueError, KeyError, StopIteration):
        return {}
