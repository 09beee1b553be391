"""Options that several commands share."""

from __future__ import annotations

import typer

CORES = typer.Option(None, "--core", help="IP:port of a core's HTTP; may be given several times.")
EDGES = typer.Option(None, "--edge", help="IP:port of an edge's HTTP; may be given several times.")
AS_JSON = typer.Option(False, "--json", help="Print JSON.")
