"""`kelpstage-control`: the core's command line."""

from __future__ import annotations

import kelpstage.common.early_signals  # noqa: F401  # before the imports that take long

# isort: split
from typing import Any, List, Optional

import typer

from kelpstage.common.process import run_daemon
from kelpstage.common.settings.loading import CORE_SCHEMA, read_settings_file, settings_or_exit
from kelpstage.core.app import Core

app = typer.Typer(add_completion=False, help=__doc__, pretty_exceptions_enable=False)


@app.command()
def main(
    settings: Optional[str] = typer.Option(
        None, "--settings", "--env", help="Settings file (JSON); flags override it."
    ),
    own: Optional[str] = typer.Option(None, help="IP:port for messages between processes."),
    http: Optional[str] = typer.Option(None, help="IP:port for operators' HTTP."),
    zone: Optional[str] = typer.Option(
        None, "--zone", "--domain", help="The zone of this machine."
    ),
    seed: Optional[List[str]] = typer.Option(
        None, help="IP:port of a seed core; give three. Founding a cluster needs all three."
    ),
    metrics: Optional[str] = typer.Option(
        None, help="IP:port that serves only metrics, in addition to /metrics at --http."
    ),
    data: Optional[str] = typer.Option(None, help="Folder for the log, snapshots and identity."),
) -> None:
    """Run a core: it keeps configurations, the edge membership and leases in a replicated log."""

    def read_settings() -> dict[str, Any]:
        return settings_or_exit(
            outcome=read_settings_file(
                file=settings,
                flags={
                    "own": own,
                    "http": http,
                    "domain": zone,
                    "seeds": seed,
                    "data": data,
                    "metrics": metrics,
                },
                schema=CORE_SCHEMA,
            )
        )

    given_settings = read_settings()
    run_daemon(
        program="kelpstage-control",
        data_folder=given_settings["data"],
        build=lambda ports: Core(ports=ports, settings=given_settings),
        watch=settings,
        read_settings=read_settings,
    )


def run() -> None:
    """The entry point of `kelpstage-control`."""
    app()


if __name__ == "__main__":
    run()
