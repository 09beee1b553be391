"""Validates the sections `services` and `forward` of a configuration.

A forward route matches a host and a path prefix, and splits requests by weight or gathers
shards. The checks are plain code instead of a trafaret schema: a document may have thousands
of routes, and most rules concern two keys or two routes (see `docs/developing.md`).
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
INTEGER_LIMIT = 2**53

INTEGER_FIELDS: dict[str, tuple[int, int | None]] = {  # key: (minimum, default; None: required)
    "attempts": (1, 1),
    "deadline_us": (1, None),
    "aim_us": (0, 0),
    "rank": (0, 0),
}
ROUTE_KEYS = {
    "host",
    "prefix",
    "is_repeatable",
    "weights",
    "fan_out",
    "limit",
    "quorum",
    *INTEGER_FIELDS,
}


def is_service_name(*, value: Any) -> bool:
    """True if the value is a valid name of a service or route.

    A name has 1 to 128 printable characters without spaces.

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
    """Returns the smallest number of shards that is at least this share of them, at least 1.

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
    """Validates the section `services`; returns its services and its errors.

    >>> read_services(raw={"svc": {"health_path": "health"}})[1]
    [InvalidField(path='services.svc.health_path', why='does not begin with /')]
    """
    if not isinstance(raw, dict):
        return {}, [InvalidField(path="services", why="is not an object")]
    services: dict[str, Service] = {}
    faults: list[InvalidField] = []
    for name, entry in raw.items():
        path = f"services.{name}"
        if not is_service_name(value=name):
            faults.append(InvalidField(path=path, why=_invalid_name_reason()))
            continue
        if not isinstance(entry, dict):
            faults.append(InvalidField(path=path, why="is not an object"))
            continue
        found = [
            InvalidField(path=f"{path}.{key}", why="is not allowed key")
            for key in entry.keys() - {"health_path", "max_connections"}
        ]
        health_path = entry.get("health_path", "/health")
        if not isinstance(health_path, str) or not health_path.startswith("/"):
            found.append(InvalidField(path=f"{path}.health_path", why="does not begin with /"))
        elif not _has_target_characters(value=health_path):
            found.append(
                InvalidField(
                    path=f"{path}.health_path", why="contains spaces or control characters"
                )
            )
        max_connections = entry.get("max_connections", 0)
        if not _is_integer(value=max_connections, low=0):
            found.append(
                InvalidField(path=f"{path}.max_connections", why="value is not an integer >= 0")
            )
        faults += found
        if not found:
            services[name] = Service(
                name=name, health_path=health_path, max_connections=max_connections
            )
    return services, faults


def read_forward(*, raw: Any, services: Any) -> tuple[dict[str, ForwardRoute], list[InvalidField]]:
    """Validates the section `forward`, whose routes may only refer to the given services.

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
    route_names: dict[tuple[str, str], str] = {}  # by host and prefix
    # Validated fan-out lists: many routes have the same one, which is then checked and kept once.
    valid_fan_outs: dict[tuple, tuple[str, ...]] = {}
    for name, entry in raw.items():
        path = f"forward.{name}"
        if not is_service_name(value=name):
            faults.append(InvalidField(path=path, why=_invalid_name_reason()))
            continue
        if not isinstance(entry, dict):
            faults.append(InvalidField(path=path, why="is not an object"))
            continue
        found: list[InvalidField] = []
        route = _read_route(
            name=name,
            raw=entry,
            path=path,
            services=services,
            valid_fan_outs=valid_fan_outs,
            faults=found,
        )
        if route is not None:
            other = route_names.setdefault((route.host, route.prefix), name)
            if other != name:
                found.append(
                    InvalidField(path=f"{path}.prefix", why=f"same host and prefix as {other}")
                )
        faults += found
        if route is not None and not found:
            routes[name] = route
    return routes, faults


def _read_route(
    *,
    name: str,
    raw: dict,
    path: str,
    services: Any,
    valid_fan_outs: dict,
    faults: list[InvalidField],
) -> ForwardRoute | None:
    """Reads one route and adds its errors to `faults`.

    Returns `None` if the host or the prefix is invalid. Any other invalid route is returned too,
    so that the caller can check it for a duplicate host and prefix.
    """
    for key in sorted(raw.keys() - ROUTE_KEYS):
        faults.append(InvalidField(path=f"{path}.{key}", why="is not allowed key"))
    host, prefix = raw.get("host"), raw.get("prefix")
    has_host_and_prefix = _check_host_and_prefix(host=host, prefix=prefix, path=path, faults=faults)
    is_repeatable = raw.get("is_repeatable", False)
    if type(is_repeatable) is not bool:
        faults.append(InvalidField(path=f"{path}.is_repeatable", why="value is not true or false"))
    integers = _read_integers(raw=raw, path=path, faults=faults)
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
                faults.append(
                    InvalidField(path=f"{path}.{key}", why="is allowed only with fan_out")
                )
    else:
        fan_out = _read_fan_out(
            raw=raw["fan_out"],
            path=path,
            services=services,
            valid_fan_outs=valid_fan_outs,
            faults=faults,
        )
        limit, quorum = _read_limit_and_quorum(
            raw=raw, path=path, shards=len(fan_out), faults=faults
        )
    if not has_host_and_prefix:
        return None
    if faults:  # placeholders; the caller only checks host and prefix for duplicates
        integers = {key: integers.get(key, low) for key, (low, _) in INTEGER_FIELDS.items()}
    return ForwardRoute(
        name=name,
        host=host_key(host=host),
        prefix=prefix,
        is_repeatable=is_repeatable,
        attempts=integers["attempts"],
        deadline_us=integers["deadline_us"],
        aim_us=integers["aim_us"],
        rank=integers["rank"],
        weights=weights,
        fan_out=fan_out,
        limit=limit,
        quorum=quorum,
    )


def _check_host_and_prefix(
    *, host: Any, prefix: Any, path: str, faults: list[InvalidField]
) -> bool:
    """True if the host and the path prefix are valid; adds an error for each that is not."""
    before = len(faults)
    if not is_host(value=host):
        faults.append(InvalidField(path=f"{path}.host", why="value is not a host name"))
    why = _invalid_prefix_reason(value=prefix)
    if why:
        faults.append(InvalidField(path=f"{path}.prefix", why=why))
    return len(faults) == before


def _read_integers(*, raw: dict, path: str, faults: list[InvalidField]) -> dict[str, int]:
    """Returns the integer fields that are in range; adds an error for each that is not."""
    integers: dict[str, int] = {}
    for key, (low, default) in INTEGER_FIELDS.items():
        value = raw.get(key, default)
        if type(value) is int and low <= value <= INTEGER_LIMIT:
            integers[key] = value
            continue
        why = "is required" if value is None else f"value is not an integer >= {low}"
        faults.append(InvalidField(path=f"{path}.{key}", why=why))
    return integers


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
            faults.append(InvalidField(path=f"{path}.{service}", why="value is not a number >= 0"))
            continue
        total += weight
    if not 0 < total < math.inf:
        faults.append(
            InvalidField(
                path=path,
                why="sum of weights is 0" if not total else "sum of weights is too large",
            )
        )
        return ()
    return tuple(
        (service, float(weight)) for service, weight in raw.items() if _is_number(value=weight)
    )


def _read_fan_out(
    *,
    raw: Any,
    path: str,
    services: Any,
    valid_fan_outs: dict,
    faults: list[InvalidField],
) -> tuple[str, ...]:
    path = f"{path}.fan_out"
    if not isinstance(raw, list) or not raw:
        faults.append(InvalidField(path=path, why="is not a non-empty list of services"))
        return ()
    if len(raw) > FAN_OUT_LIMIT:
        faults.append(InvalidField(path=path, why=f"more than {FAN_OUT_LIMIT} services"))
        return ()
    fan_out = tuple(service for service in raw if isinstance(service, str))
    if len(fan_out) == len(raw) and fan_out in valid_fan_outs:
        return valid_fan_outs[fan_out]
    seen: set[str] = set()
    before = len(faults)
    for index, service in enumerate(raw):
        if not isinstance(service, str) or service not in services:
            faults.append(InvalidField(path=f"{path}.{index}", why="unknown service"))
            continue
        if service in seen:
            faults.append(
                InvalidField(path=f"{path}.{index}", why=f"service {service} is listed twice")
            )
        seen.add(service)
    if len(faults) == before:
        valid_fan_outs[fan_out] = fan_out
    return fan_out


def _read_limit_and_quorum(
    *, raw: dict, path: str, shards: int, faults: list[InvalidField]
) -> tuple[int, int]:
    """Returns the limit of records and the quorum, as a number of shards, of a fan-out route."""
    limit = raw.get("limit")
    if not _is_integer(value=limit, low=0):
        why = "is required" if limit is None else "value is not an integer >= 0"
        faults.append(InvalidField(path=f"{path}.limit", why=why))
        limit = 0
    share = raw.get("quorum", 1.0)
    if not _is_number(value=share) or not 0 < share <= 1:
        faults.append(
            InvalidField(path=f"{path}.quorum", why="value is not a fraction above 0 and up to 1")
        )
        return limit, 1
    return limit, quorum_count(share=share, shards=shards) if shards else 1


def is_host(*, value: Any) -> bool:
    """True if the value is a valid host of a request, with or without a port.

    >>> is_host(value="H.example:80"), is_host(value="a b"), is_host(value=":80")
    (True, False, False)
    """
    return (
        isinstance(value, str)
        and 0 < len(value) <= HOST_LIMIT
        and _has_target_characters(value=value)
        and "/" not in value
        and bool(host_key(host=value))
    )


def _invalid_prefix_reason(*, value: Any) -> str:
    if not isinstance(value, str):
        return "is required" if value is None else "value is not a string"
    if not value.startswith("/") or not value.endswith("/"):
        return "does not begin and end with /"
    if len(value) > PREFIX_LIMIT:
        return f"longer than {PREFIX_LIMIT}"
    if not _has_target_characters(value=value) or "?" in value or "#" in value:
        return "contains characters that are invalid in a path"
    return ""


def _has_target_characters(*, value: str) -> bool:
    return value.isprintable() and " " not in value


def _is_integer(*, value: Any, low: int) -> bool:
    return type(value) is int and low <= value <= INTEGER_LIMIT


def _is_number(*, value: Any) -> bool:
    return type(value) in (int, float) and abs(value) <= INTEGER_LIMIT


def _invalid_name_reason() -> str:
    return f"name is not 1 to {NAME_LIMIT} printable characters without spaces"
