"""Options that several commands have in common."""

from __future__ import annotations

import typer

CORES = typer.Option(None, "--core", help="IP:port of a core's HTTP listener; may be repeated.")
EDGES = typer.Option(None, "--edge", help="IP:port of an edge's HTTP listener; may be repeated.")
AS_JSON = typer.Option(False, "--json", help="Print JSON.")
