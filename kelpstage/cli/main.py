"""`kelpctl`: the command line of the operators.

Exit codes: 0 success; 1 rejected (an error, a concurrent change, not found);
2 invalid input; 3 unresolved, repeat the command; 4 no server was reachable.
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
    rollouts,
    top,
)

app = typer.Typer(
    add_completion=False, help=__doc__, pretty_exceptions_enable=False, no_args_is_help=True
)

# The help lists the commands in this order.
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
app.command("roster", hidden=True)(fleet.membership)  # its name up to version 0.1.0
app.command("remove-edge")(fleet.remove_edge)
app.command("drain")(drains.drain)
app.command("undrain")(drains.undrain)
app.command("rollout")(rollouts.rollout)
app.command("rollouts")(rollouts.rollouts)
app.command("recover")(recovery.recover_cluster)
app.command("salvage", hidden=True)(recovery.recover_cluster)  # its name up to version 0.1.0
app.command("import")(imports.import_routes)


def run() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    run()
