"""The import command: adds the routes of an OpenAPI file to a configuration."""

from __future__ import annotations

import json

import typer

from kelpstage.cli.files import read_configuration_file, read_file, write_file_atomically
from kelpstage.cli.offline.routes import ImportedRoutes, read_openapi, routes_of
from kelpstage.cli.options import AS_JSON
from kelpstage.cli.output import BAD_INPUT, REJECTED, fail, show
from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.validation import InvalidConfigurationError


def import_routes(
    file: str = typer.Argument(help="An OpenAPI 3 file, JSON or YAML."),
    into: str = typer.Option(..., help="File with the configuration that gets the routes."),
    out: str = typer.Option(..., help="Write the new configuration to this file, for review."),
    is_json: bool = AS_JSON,
) -> None:
    """Import the routes of an OpenAPI file and list everything that is not imported."""
    configuration = read_configuration_file(path=into, is_json=is_json, code=BAD_INPUT)
    openapi = read_openapi(data=read_file(path=file))
    if isinstance(openapi, list):
        fail(error=InvalidConfigurationError(faults=openapi), code=BAD_INPUT, is_json=is_json)
    imported = routes_of(openapi=openapi, shards=_shards_by_collection(configuration=configuration))
    data = _with_routes(configuration=configuration, imported=imported)
    outcome = read_configuration(data=data, version=0)
    if isinstance(outcome, InvalidConfigurationError):
        fail(error=outcome, code=REJECTED, is_json=is_json)
    write_file_atomically(path=out, data=data)
    unsupported = [{"path": field.path, "why": field.why} for field in imported.unsupported]
    lines = [f"not imported: {row['path']}: {row['why']}" for row in unsupported]
    lines.append(f"{len(imported.routes)} routes in {out}; kelpctl diff {into} {out} shows them")
    show(
        body={"routes": imported.routes, "unsupported": unsupported},
        is_json=is_json,
        text="\n".join(lines),
    )


def _shards_by_collection(*, configuration: Configuration) -> dict[str, list[str]]:
    """Returns the shards of each collection that is not derived from a forward route."""
    return {
        name: sorted(collection.shards)
        for name, collection in configuration.collections.items()
        if name not in configuration.forward
    }


def _with_routes(*, configuration: Configuration, imported: ImportedRoutes) -> bytes:
    """Returns the configuration's document with the imported routes added."""
    document = json.loads(configuration.document)
    document["routes"] = {**document.get("routes", {}), **imported.routes}
    return json.dumps(document, indent=1, ensure_ascii=False).encode()
