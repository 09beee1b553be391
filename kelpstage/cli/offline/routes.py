"""Routes from an OpenAPI file, laid into a configuration for review.

A `POST` on `/v1/collections/{collection}/search`, with the collection's name in
its place, becomes that collection's route. `x-kelp-quorum`, `x-kelp-fan-out` and
`x-kelp-window-us` on the operation give its numbers; `FanOut` is every shard of
the collection. What has no place in a route is named, never dropped in silence.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Any, cast

import yaml
from openapi_pydantic import OpenAPI, Operation, PathItem, parse_obj
from pydantic import ValidationError

from kelpstage.common.errors.validation import InvalidField

SEARCH = re.compile(r"/v1/collections/([A-Za-z0-9][A-Za-z0-9._-]{0,63})/search")
RECORD = re.compile(r"/v1/collections/[^/]+/shards/[^/]+/records/[^/]+")
EXTENSIONS = {
    "x-kelp-quorum": "Quorum",
    "x-kelp-fan-out": "fan_out",
    "x-kelp-window-us": "window_us",
}
METHODS = ("get", "put", "post", "delete", "options", "head", "patch", "trace")
PLAIN = {"operationId", "summary", "description", "tags", "responses", "requestBody", "parameters"}


@dataclass(kw_only=True)
class ImportedRoutes:
    """Routes found, and what was found beside them."""

    routes: dict[str, dict[str, Any]] = field(default_factory=dict)
    unsupported: list[InvalidField] = field(default_factory=list)


def read_openapi(*, data: bytes) -> OpenAPI | list[InvalidField]:
    """Read an OpenAPI 3 file, JSON or YAML.

    >>> read_openapi(data=b"openapi: 3.1.0")[0].path
    'info'
    """
    try:
        raw = yaml.safe_load(data.decode("utf-8"))
    except (UnicodeDecodeError, yaml.YAMLError) as error:
        mark = getattr(error, "problem_mark", None)
        place = f"line {mark.line + 1}, column {mark.column + 1}" if mark else "(whole)"
        return [InvalidField(path=place, why="neither JSON nor YAML")]
    if not isinstance(raw, dict):
        return [InvalidField(path="(whole)", why="not an object")]
    try:
        return cast(OpenAPI, parse_obj(raw))  # 3.0 has the same fields, as far as they are read
    except ValidationError as error:
        return [
            # the library puts the file's version before each place
            InvalidField(path=".".join(str(s) for s in one["loc"][1:]) or "(whole)", why=one["msg"])
            for one in error.errors()
        ]
    except ValueError as error:  # the library's word for a version it does not know
        return [InvalidField(path="openapi", why=str(error)[:200])]


def routes_of(*, openapi: OpenAPI, shards: dict[str, list[str]]) -> ImportedRoutes:
    """The routes in a file, for the collections whose shards are known.

    >>> text = (b'{"openapi":"3.1.0","info":{"title":"t","version":"1"},"paths":'
    ...         b'{"/v1/collections/c/search":{"post":{"x-kelp-quorum":1}},"/other":{"get":{}}}}')
    >>> got = routes_of(openapi=read_openapi(data=text), shards={"c": ["s1"]})
    >>> got.routes, [fault.path for fault in got.unsupported]
    ({'c': {'FanOut': ['s1'], 'Quorum': 1}}, ['paths./other.get'])
    """
    out = ImportedRoutes()
    for name in ("servers", "security", "webhooks", "externalDocs"):
        if name in openapi.model_fields_set:
            out.unsupported.append(InvalidField(path=name, why="has no place in a configuration"))
    for path, item in (openapi.paths or {}).items():
        for method in METHODS:
            operation = getattr(item, method)
            if operation is not None:
                _take(path=path, method=method, operation=operation, shards=shards, out=out)
        _note_rest(path=path, item=item, out=out)
    return out


def _note_rest(*, path: str, item: PathItem, out: ImportedRoutes) -> None:
    for name in sorted(item.model_fields_set - set(METHODS) - {"summary", "description"}):
        out.unsupported.append(InvalidField(path=f"paths.{path}.{name}", why="not taken over"))


def _take(
    *,
    path: str,
    method: str,
    operation: Operation,
    shards: dict[str, list[str]],
    out: ImportedRoutes,
) -> None:
    at = f"paths.{path}.{method}"
    found = SEARCH.fullmatch(path)
    if found is None or method != "post":
        why = (
            "single records need no route"
            if RECORD.fullmatch(path) and method == "get"
            else "not POST /v1/collections/NAME/search"
        )
        out.unsupported.append(InvalidField(path=at, why=why))
        return
    collection = found.group(1)
    if collection not in shards:
        out.unsupported.append(
            InvalidField(path=at, why=f"the configuration has no collection {collection}")
        )
        return
    route: dict[str, Any] = {"FanOut": shards[collection], "Quorum": len(shards[collection])}
    for name, value in (operation.model_extra or {}).items():
        if name in EXTENSIONS:
            route[EXTENSIONS[name]] = value
        else:
            out.unsupported.append(InvalidField(path=f"{at}.{name}", why="unknown extension"))
    for name in sorted(operation.model_fields_set - PLAIN - set(operation.model_extra or {})):
        out.unsupported.append(InvalidField(path=f"{at}.{name}", why="has no place in a route"))
    for parameter in operation.parameters or []:
        name = getattr(parameter, "name", "(a reference)")
        if name != "limit" and str(name).lower() != "kelp-time-left-us":
            out.unsupported.append(
                InvalidField(path=f"{at}.parameters.{name}", why="callers have no such parameter")
            )
    out.routes[collection] = route
