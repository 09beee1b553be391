"""Made-up configurations of a hollow fleet."""

from __future__ import annotations

import json

from kelpstage.testbed.hollow.load import AIM_US, DEADLINE_US, HOST, LIMIT, PREFIX, QUORUM


def document(*, routes: int, serial: int, shards: int = 0) -> bytes:
    """A configuration of this many routes; each serial differs in one time-out. With
    shards, one route more fans out to all of them.

    >>> len(document(routes=40, serial=1)) > 5_000
    True
    """
    services = {
        f"service-{n:04d}": {"health_path": "/health", "max_connections": 88} for n in range(routes)
    }
    forward = {
        f"route-{n:04d}": {
            "host": f"host-{n % 7}.example",
            "prefix": f"/part-{n:04d}/",
            "is_repeatable": True,
            "attempts": 2,
            "deadline_us": 800_000 + (serial if n == serial % routes else 0),
            "aim_us": 84_000,
            "rank": n % 4,
            "weights": {f"service-{n:04d}": 1.0},
        }
        for n in range(routes)
    }
    names = [f"shard-{n:04d}" for n in range(shards)]
    if names:
        services |= {name: {"health_path": "/health", "max_connections": 400} for name in names}
        forward["search"] = {
            "host": HOST,
            "prefix": PREFIX,
            "is_repeatable": True,
            "attempts": 2,
            "deadline_us": DEADLINE_US,
            "aim_us": AIM_US,
            "rank": 0,
            "fan_out": names,
            "limit": LIMIT,
            "quorum": QUORUM,
        }
    return json.dumps({"services": services, "forward": forward}).encode()
