"""`kelpc`: the core's command line."""

from __future__ import annotations

from typing import List, Optional

import typer

from kelpstage.common.process import run_daemon
from kelpstage.common.settings.loading import CORE_FORM, env_or_exit, read_env
from kelpstage.core.app import Core

app = typer.Typer(add_completion=False, help=__doc__, pretty_exceptions_enable=False)


@app.command()
def main(
    env: Optional[str] = typer.Option(None, help="Settings file (JSON); flags go over it."),
    own: Optional[str] = typer.Option(None, help="IP:port for the lines between processes."),
    http: Optional[str] = typer.Option(None, help="IP:port for operators' HTTP."),
    domain: Optional[str] = typer.Option(None, help="The domain (zone) of this machine."),
    seed: Optional[List[str]] = typer.Option(
        None, help="IP:port of a core; give it three times. Founding needs all three."
    ),
    data: Optional[str] = typer.Option(None, help="Folder for the log, snapshots and identity."),
) -> None:
    """Run a core: it keeps configurations, the edge roster and leases in a replicated log."""

    def read_settings() -> dict:
        return env_or_exit(
            outcome=read_env(
                file=env,
                flags={"own": own, "http": http, "domain": domain, "seeds": seed, "data": data},
                form=CORE_FORM,
            )
        )

    env_given = read_settings()
    run_daemon(
        program="kelpc",
        data_folder=env_given["data"],
        build=lambda ports: Core(ports=ports, env=env_given),
        watch=env,
        read_settings=read_settings,
    )


def run() -> None:
    """The entry point of `kelpc`."""
    app()


if __name__ == "__main__":
    run()
