"""The sections `services` and `forward`: routes by host and prefix, with shares or shards.

A document may hold some thousand routes, and most of what can be wrong with one is a
matter of two keys or two routes, so they are judged by hand (see `docs/developing.md`).
"""

from __future__ import annotations

import math
from typing import Any

from kelpstage.common.configuration.types import ForwardRoute, Service, host_key
from kelpstage.common.errors.validation import InvalidField

NAME_LIMIT = 128
HOST_LIMIT = 255
PREFIX_LIMIT = 8192
FAN_OUT_LIMIT = 3125
WHOLE_LIMIT = 2**53

WHOLES: dict[str, tuple[int, int | None]] = {  # key: least value, default (None: required)
    "attempts": (1, 1),
    "deadline_us": (1, None),
    "aim_us": (0, 0),
    "rank": (0, 0),
}
KEYS = {"host", "prefix", "is_repeatable", "weights", "fan_out", "limit", "quorum", *WHOLES}


def is_service_name(*, value: Any) -> bool:
    """Names of services and routes: printable, without blanks, up to 128 characters.

    >>> is_service_name(value="svc-1"), is_service_name(value="a b"), is_service_name(value="")
    (True, False, False)
    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= NAME_LIMIT
        and value.isprintable()
        and " " not in value
    )


def quorum_count(*, share: float, shards: int) -> int:
    """The least whole number of shards that makes up the share, at least 1.

    >>> quorum_count(share=0.3, shards=10), quorum_count(share=1.0, shards=8)
    (3, 8)
    >>> quorum_count(share=0.07, shards=100), quorum_count(share=0.001, shards=5)
    (7, 1)
    """
    count = min(shards, max(1, math.ceil(share * shards)))
    while count > 1 and (count - 1) / shards >= share:
        count -= 1
    while count < shards and count / shards < share:
        count += 1
    return count


def read_services(*, raw: Any) -> tuple[dict[str, Service], list[InvalidField]]:
    """Validate the section `services`.

    >>> read_services(raw={"svc": {"health_path": "health"}})[1]
    [InvalidField(path='services.svc.health_path', why='does not begin with /')]
    """
    if not isinstance(raw, dict):
        return {}, [InvalidField(path="services", why="is not an object")]
    services: dict[str, Service] = {}
    faults: list[InvalidField] = []
    for name, inner in raw.items():
        path = f"services.{name}"
        if not is_service_name(value=name):
            faults.append(InvalidField(path=path, why=_name_fault()))
            continue
        if not isinstance(inner, dict):
            faults.append(InvalidField(path=path, why="is not an object"))
            continue
        found = [
            InvalidField(path=f"{path}.{key}", why="is not allowed key")
            for key in inner.keys() - {"health_path", "max_connections"}
        ]
        health_path = inner.get("health_path", "/health")
        if not isinstance(health_path, str) or not health_path.startswith("/"):
            found.append(InvalidField(path=f"{path}.health_path", why="does not begin with /"))
        elif not _is_target(value=health_path):
            found.append(
                InvalidField(path=f"{path}.health_path", why="holds blanks or control characters")
            )
        bound = inner.get("max_connections", 0)
        if not _is_whole(value=bound, low=0):
            found.append(
                InvalidField(
                    path=f"{path}.max_connections", why="value is not a whole number from 0"
                )
            )
        faults += found
        if not found:
            services[name] = Service(name=name, health_path=health_path, max_connections=bound)
    return services, faults


def read_forward(*, raw: Any, services: Any) -> tuple[dict[str, ForwardRoute], list[InvalidField]]:
    """Validate the section `forward` against the names of the services.

    >>> route = {"host": "h", "prefix": "/a/", "deadline_us": 1, "weights": {"x": 1.0}}
    >>> read_forward(raw={"r": route}, services={})[1]
    [InvalidField(path='forward.r.weights.x', why='unknown service')]
    >>> routes, faults = read_forward(raw={"r": route}, services={"x": 1})
    >>> routes["r"].weights, faults
    ((('x', 1.0),), [])
    """
    if not isinstance(raw, dict):
        return {}, [InvalidField(path="forward", why="is not an object")]
    routes: dict[str, ForwardRoute] = {}
    faults: list[InvalidField] = []
    taken: dict[tuple[str, str], str] = {}
    known: dict[tuple, tuple[str, ...]] = {}  # lists of shards that were judged: few differ
    for name, inner in raw.items():
        path = f"forward.{name}"
        if not is_service_name(value=name):
            faults.append(InvalidField(path=path, why=_name_fault()))
            continue
        if not isinstance(inner, dict):
            faults.append(InvalidField(path=path, why="is not an object"))
            continue
        found: list[InvalidField] = []
        route = _read_route(
            name=name, raw=inner, path=path, services=services, known=known, faults=found
        )
        if route is not None:
            other = taken.setdefault((route.host, route.prefix), name)
            if other != name:
                found.append(InvalidField(path=f"{path}.prefix", why=f"host and prefix of {other}"))
        faults += found
        if route is not None and not found:
            routes[name] = route
    return routes, faults


def _read_route(
    *, name: str, raw: dict, path: str, services: Any, known: dict, faults: list[InvalidField]
) -> ForwardRoute | None:
    """One route; None where host or prefix can't be read."""
    for key in sorted(raw.keys() - KEYS):
        faults.append(InvalidField(path=f"{path}.{key}", why="is not allowed key"))
    host, prefix = raw.get("host"), raw.get("prefix")
    is_placed = _check_place(host=host, prefix=prefix, path=path, faults=faults)
    is_repeatable = raw.get("is_repeatable", False)
    if type(is_repeatable) is not bool:
        faults.append(InvalidField(path=f"{path}.is_repeatable", why="value is not true or false"))
    wholes = _read_wholes(raw=raw, path=path, faults=faults)
    weights: tuple[tuple[str, float], ...] = ()
    fan_out: tuple[str, ...] = ()
    limit, quorum = 0, 1
    if ("weights" in raw) == ("fan_out" in raw):
        why = "both weights and fan_out" if "weights" in raw else "neither weights nor fan_out"
        faults.append(InvalidField(path=path, why=why))
    elif "weights" in raw:
        weights = _read_weights(raw=raw["weights"], path=path, services=services, faults=faults)
        for key in ("limit", "quorum"):
            if key in raw:
                faults.append(InvalidField(path=f"{path}.{key}", why="stands with fan_out only"))
    else:
        fan_out = _read_fan_out(
            raw=raw["fan_out"], path=path, services=services, known=known, faults=faults
        )
        limit, quorum = _read_bounds(raw=raw, path=path, shards=len(fan_out), faults=faults)
    if not is_placed:
        return None
    if faults:  # only what the check of doubles needs
        wholes = {key: wholes.get(key, low) for key, (low, _) in WHOLES.items()}
    return ForwardRoute(
        name=name,
        host=host_key(host=host),
        prefix=prefix,
        is_repeatable=is_repeatable,
        attempts=wholes["attempts"],
        deadline_us=wholes["deadline_us"],
        aim_us=wholes["aim_us"],
        rank=wholes["rank"],
        weights=weights,
        fan_out=fan_out,
        limit=limit,
        quorum=quorum,
    )


def _check_place(*, host: Any, prefix: Any, path: str, faults: list[InvalidField]) -> bool:
    """Whether host and path prefix are usable; adds a fault for each that is not."""
    before = len(faults)
    if not is_host(value=host):
        faults.append(InvalidField(path=f"{path}.host", why="value is not a host name"))
    why = _prefix_fault(value=prefix)
    if why:
        faults.append(InvalidField(path=f"{path}.prefix", why=why))
    return len(faults) == before


def _read_wholes(*, raw: dict, path: str, faults: list[InvalidField]) -> dict[str, int]:
    """The whole-number fields that are in range; adds a fault for each that is not."""
    wholes: dict[str, int] = {}
    for key, (low, default) in WHOLES.items():
        value = raw.get(key, default)
        if type(value) is int and low <= value <= WHOLE_LIMIT:
            wholes[key] = value
            continue
        why = "is required" if value is None else f"value is not a whole number from {low}"
        faults.append(InvalidField(path=f"{path}.{key}", why=why))
    return wholes


def _read_weights(
    *, raw: Any, path: str, services: Any, faults: list[InvalidField]
) -> tuple[tuple[str, float], ...]:
    path = f"{path}.weights"
    if not isinstance(raw, dict):
        faults.append(InvalidField(path=path, why="is not an object"))
        return ()
    total = 0.0
    for service, weight in raw.items():
        if service not in services:
            faults.append(InvalidField(path=f"{path}.{service}", why="unknown service"))
        if not _is_number(value=weight) or weight < 0:
            faults.append(
                InvalidField(path=f"{path}.{service}", why="value is not a number from 0")
            )
            continue
        total += weight
    if not 0 < total < math.inf:
        faults.append(
            InvalidField(path=path, why="the weights sum to 0" if not total else "too large")
        )
        return ()
    return tuple(
        (service, float(weight)) for service, weight in raw.items() if _is_number(value=weight)
    )


def _read_fan_out(
    *, raw: Any, path: str, services: Any, known: dict, faults: list[InvalidField]
) -> tuple[str, ...]:
    path = f"{path}.fan_out"
    if not isinstance(raw, list) or not raw:
        faults.append(InvalidField(path=path, why="is not a list of services, or empty"))
        return ()
    if len(raw) > FAN_OUT_LIMIT:
        faults.append(InvalidField(path=path, why=f"more than {FAN_OUT_LIMIT} services"))
        return ()
    fan_out = tuple(service for service in raw if isinstance(service, str))
    if len(fan_out) == len(raw) and fan_out in known:
        return known[fan_out]
    seen: set[str] = set()
    before = len(faults)
    for place, service in enumerate(raw):
        if not isinstance(service, str) or service not in services:
            faults.append(InvalidField(path=f"{path}.{place}", why="unknown service"))
            continue
        if service in seen:
            faults.append(
                InvalidField(path=f"{path}.{place}", why=f"service {service} stands twice")
            )
        seen.add(service)
    if len(faults) == before:
        known[fan_out] = fan_out
    return fan_out


def _read_bounds(
    *, raw: dict, path: str, shards: int, faults: list[InvalidField]
) -> tuple[int, int]:
    """The number of records and the quorum of a route with shards."""
    limit = raw.get("limit")
    if not _is_whole(value=limit, low=0):
        why = "is required" if limit is None else "value is not a whole number from 0"
        faults.append(InvalidField(path=f"{path}.limit", why=why))
        limit = 0
    share = raw.get("quorum", 1.0)
    if not _is_number(value=share) or not 0 < share <= 1:
        faults.append(
            InvalidField(path=f"{path}.quorum", why="value is not a share above 0, up to 1")
        )
        return limit, 1
    return limit, quorum_count(share=share, shards=shards) if shards else 1


def is_host(*, value: Any) -> bool:
    """Is this a host as a request may name it, a port after it or not?

    >>> is_host(value="H.example:80"), is_host(value="a b"), is_host(value=":80")
    (True, False, False)
    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= HOST_LIMIT
        and _is_target(value=value)
        and "/" not in value
        and bool(host_key(host=value))
    )


def _prefix_fault(*, value: Any) -> str:
    if not isinstance(value, str):
        return "is required" if value is None else "value is not a string"
    if not value.startswith("/") or not value.endswith("/"):
        return "does not begin and end with /"
    if len(value) > PREFIX_LIMIT:
        return f"longer than {PREFIX_LIMIT}"
    if not _is_target(value=value) or "?" in value or "#" in value:
        return "holds characters that no path has"
    return ""


def _is_target(*, value: str) -> bool:
    return value.isprintable() and " " not in value


def _is_whole(*, value: Any, low: int) -> bool:
    return type(value) is int and low <= value <= WHOLE_LIMIT


def _is_number(*, value: Any) -> bool:
    return type(value) in (int, float) and abs(value) <= WHOLE_LIMIT


def _name_fault() -> str:
    return f"a name has 1 to {NAME_LIMIT} printable characters without blanks"
