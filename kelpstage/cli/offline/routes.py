"""Converts an OpenAPI file to routes of a configuration.

A `POST` on `/v1/collections/NAME/search` becomes the route of the collection `NAME`.
`x-kelp-quorum`, `x-kelp-fan-out` and `x-kelp-window-us` on the operation set its numbers;
`FanOut` is every shard of the collection. Everything that a route can't express is reported.
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
IGNORED_FIELDS = {
    "operationId",
    "summary",
    "description",
    "tags",
    "responses",
    "requestBody",
    "parameters",
}


@dataclass(kw_only=True)
class ImportedRoutes:
    """The imported routes, and the parts of the file that routes can't express."""

    routes: dict[str, dict[str, Any]] = field(default_factory=dict)
    unsupported: list[InvalidField] = field(default_factory=list)


def read_openapi(*, data: bytes) -> OpenAPI | list[InvalidField]:
    """Parses an OpenAPI 3 file in JSON or YAML.

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
        return [InvalidField(path="(whole)", why="is not an object")]
    try:
        return cast(OpenAPI, parse_obj(raw))  # the fields that are read are the same in 3.0
    except ValidationError as error:
        return [
            # the library puts the OpenAPI version before each location
            InvalidField(path=".".join(str(s) for s in one["loc"][1:]) or "(whole)", why=one["msg"])
            for one in error.errors()
        ]
    except ValueError as error:  # raised by the library for an unknown OpenAPI version
        return [InvalidField(path="openapi", why=str(error)[:200])]


def routes_of(*, openapi: OpenAPI, shards: dict[str, list[str]]) -> ImportedRoutes:
    """Converts the operations of a file to routes, for collections whose shards are known.

    >>> text = (b'{"openapi":"3.1.0","info":{"title":"t","version":"1"},"paths":'
    ...         b'{"/v1/collections/c/search":{"post":{"x-kelp-quorum":1}},"/other":{"get":{}}}}')
    >>> got = routes_of(openapi=read_openapi(data=text), shards={"c": ["s1"]})
    >>> got.routes, [fault.path for fault in got.unsupported]
    ({'c': {'FanOut': ['s1'], 'Quorum': 1}}, ['paths./other.get'])
    """
    imported = ImportedRoutes()
    for name in ("servers", "security", "webhooks", "externalDocs"):
        if name in openapi.model_fields_set:
            imported.unsupported.append(
                InvalidField(path=name, why="can't be expressed in a configuration")
            )
    for path, item in (openapi.paths or {}).items():
        for method in METHODS:
            operation = getattr(item, method)
            if operation is not None:
                _import_operation(
                    path=path, method=method, operation=operation, shards=shards, imported=imported
                )
        _report_other_fields(path=path, item=item, imported=imported)
    return imported


def _report_other_fields(*, path: str, item: PathItem, imported: ImportedRoutes) -> None:
    for name in sorted(item.model_fields_set - set(METHODS) - {"summary", "description"}):
        imported.unsupported.append(
            InvalidField(path=f"paths.{path}.{name}", why="is not imported")
        )


def _import_operation(
    *,
    path: str,
    method: str,
    operation: Operation,
    shards: dict[str, list[str]],
    imported: ImportedRoutes,
) -> None:
    operation_path = f"paths.{path}.{method}"
    match = SEARCH.fullmatch(path)
    if match is None or method != "post":
        why = (
            "single records need no route"
            if RECORD.fullmatch(path) and method == "get"
            else "is not POST /v1/collections/NAME/search"
        )
        imported.unsupported.append(InvalidField(path=operation_path, why=why))
        return
    collection = match.group(1)
    if collection not in shards:
        imported.unsupported.append(
            InvalidField(
                path=operation_path, why=f"the configuration has no collection {collection}"
            )
        )
        return
    route: dict[str, Any] = {"FanOut": shards[collection], "Quorum": len(shards[collection])}
    for name, value in (operation.model_extra or {}).items():
        if name in EXTENSIONS:
            route[EXTENSIONS[name]] = value
        else:
            imported.unsupported.append(
                InvalidField(path=f"{operation_path}.{name}", why="unknown extension")
            )
    for name in sorted(
        operation.model_fields_set - IGNORED_FIELDS - set(operation.model_extra or {})
    ):
        imported.unsupported.append(
            InvalidField(path=f"{operation_path}.{name}", why="can't be expressed in a route")
        )
    for parameter in operation.parameters or []:
        name = getattr(parameter, "name", "(a reference)")
        if name != "limit" and str(name).lower() != "kelp-time-left-us":
            imported.unsupported.append(
                InvalidField(
                    path=f"{operation_path}.parameters.{name}",
                    why="searches have no such parameter",
                )
            )
    imported.routes[collection] = route
