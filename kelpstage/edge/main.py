"""`kelpd`: the edge's command line."""

from __future__ import annotations

from typing import List, Optional

import typer

from kelpstage.common.process import run_daemon
from kelpstage.common.settings.loading import EDGE_FORM, env_or_exit, read_env
from kelpstage.edge.app import Edge

app = typer.Typer(add_completion=False, help=__doc__, pretty_exceptions_enable=False)


@app.command()
def main(
    env: Optional[str] = typer.Option(None, help="Settings file (JSON); flags go over it."),
    name: Optional[str] = typer.Option(None, help="This node's name, the same after a restart."),
    domain: Optional[str] = typer.Option(None, help="The domain (zone) of this machine."),
    own: Optional[str] = typer.Option(
        None, help="IP:port for lines between processes (TCP) and gossip (UDP)."
    ),
    http: Optional[str] = typer.Option(None, help="IP:port for callers' HTTP."),
    seed: Optional[List[str]] = typer.Option(None, help="IP:port of a core; give it three times."),
    platform: Optional[str] = typer.Option(
        None, help="http:// address of the platform's list of backends."
    ),
    record: Optional[str] = typer.Option(
        None, help="Folder for a record of the day (calls as they come), for kelprep."
    ),
) -> None:
    """Run an edge node: it answers searches by gathering every shard in a tree."""

    def read_settings() -> dict:
        return env_or_exit(
            outcome=read_env(
                file=env,
                flags={
                    "name": name,
                    "domain": domain,
                    "own": own,
                    "http": http,
                    "seeds": seed,
                    "platform": platform,
                    "record": record,
                },
                form=EDGE_FORM,
            )
        )

    env_given = read_settings()
    run_daemon(
        program="kelpd",
        data_folder=env_given.get("record"),
        build=lambda ports: Edge(ports=ports, env=env_given),
        watch=env,
        read_settings=read_settings,
    )


def run() -> None:
    app()


if __name__ == "__main__":
    run()
