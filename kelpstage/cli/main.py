"""`kelpctl`: the operators' command line.

Exit codes: 0 done; 1 refused (a fault, a lost race, not there); 2 bad input;
3 unresolved, ask again; 4 nobody reached.
"""

from __future__ import annotations

import typer

from kelpstage.cli.commands import (
    configurations,
    drains,
    explain,
    fleet,
    imports,
    plans,
    recovery,
    top,
)

app = typer.Typer(
    add_completion=False, help=__doc__, pretty_exceptions_enable=False, no_args_is_help=True
)

# In the order in which the help lists them.
app.command("check")(configurations.check)
app.command("diff")(configurations.diff)
app.command("get")(configurations.get)
app.command("put")(configurations.put)
app.command("put-state")(configurations.put_state)
app.command("plan")(plans.plan)
app.command("explain")(explain.explain)
app.command("status")(fleet.status)
app.command("top")(top.top)
app.command("membership")(fleet.membership)
app.command("roster", hidden=True)(fleet.membership)  # its name until 0.1.0
app.command("remove-edge")(fleet.remove_edge)
app.command("drain")(drains.drain)
app.command("undrain")(drains.undrain)
app.command("recover")(recovery.recover_cluster)
app.command("salvage", hidden=True)(recovery.recover_cluster)  # its name until 0.1.0
app.command("import")(imports.import_routes)


def run() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    run()
