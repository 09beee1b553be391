"""`kelpstage-edge`: the edge's command line."""

from __future__ import annotations

import kelpstage.common.early_signals  # noqa: F401  # before the imports that take long

# isort: split
from typing import Any, List, Optional

import typer

from kelpstage.common.process import run_daemon
from kelpstage.common.settings.loading import EDGE_SCHEMA, read_settings_file, settings_or_exit
from kelpstage.edge.app import Edge

app = typer.Typer(add_completion=False, help=__doc__, pretty_exceptions_enable=False)


@app.command()
def main(
    settings: Optional[str] = typer.Option(
        None, "--settings", "--env", help="Settings file (JSON); flags override it."
    ),
    name: Optional[str] = typer.Option(None, help="This node's name, the same after a restart."),
    zone: Optional[str] = typer.Option(
        None, "--zone", "--domain", help="The zone of this machine."
    ),
    own: Optional[str] = typer.Option(
        None, help="IP:port for messages between processes (TCP) and gossip (UDP)."
    ),
    http: Optional[str] = typer.Option(None, help="IP:port for callers' HTTP."),
    seed: Optional[List[str]] = typer.Option(None, help="IP:port of a core; give it three times."),
    platform: Optional[str] = typer.Option(
        None, help="http:// address of the platform's list of backends."
    ),
    metrics: Optional[str] = typer.Option(
        None, help="IP:port for metrics alone, beside /metrics at --http."
    ),
    observer: Optional[bool] = typer.Option(
        None,
        help="Does not vote: any number of such machines may fail or leave at the same time.",
    ),
    record: Optional[str] = typer.Option(
        None, help="Folder for a recording of incoming calls, for kelpstage-replay."
    ),
) -> None:
    """Run an edge node: it answers searches by gathering every shard in a tree."""

    def read_settings() -> dict[str, Any]:
        return settings_or_exit(
            outcome=read_settings_file(
                file=settings,
                flags={
                    "name": name,
                    "domain": zone,
                    "own": own,
                    "http": http,
                    "seeds": seed,
                    "platform": platform,
                    "metrics": metrics,
                    "record": record,
                    "observer": observer,
                },
                schema=EDGE_SCHEMA,
            )
        )

    given_settings = read_settings()
    run_daemon(
        program="kelpstage-edge",
        data_folder=given_settings.get("record"),
        build=lambda ports: Edge(ports=ports, settings=given_settings),
        watch=settings,
        read_settings=read_settings,
    )


def run() -> None:
    """The entry point of the command `kelpstage-edge`."""
    app()


if __name__ == "__main__":
    run()
