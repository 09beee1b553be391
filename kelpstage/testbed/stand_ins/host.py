"""A process that serves several stand-in backends and an address to control them.

The testbed starts it as `python -m kelpstage.testbed.stand_ins.host FILE`.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys

from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.ports.live import live_ports
from kelpstage.testbed.stand_ins.backend import StandIn
from kelpstage.testbed.stand_ins.records import Cut


class Host:
    """The stand-in backends of one process, created from a plan in JSON."""

    def __init__(self, *, plan: dict) -> None:
        self.ports = live_ports(data_folder=None)
        self.ports.rand = random.Random(plan["seed"])
        cuts = {n: Cut(name=n, shards=tuple(s)) for n, s in plan["cuts"].items()}
        self.control_address = plan["control"]
        self.backends = {
            row["name"]: StandIn(
                name=row["name"],
                address=row["address"],
                shards=tuple(row["shards"]),
                cuts=cuts,
                ports=self.ports,
                pause_share=plan["pause_share"],
            )
            for row in plan["backends"]
        }

    async def open(self) -> None:
        """Open every backend, then the control address; raises `OSError` on failure."""
        for backend in self.backends.values():
            await backend.open()
        outcome = await self.ports.net.serve_http(
            address=self.control_address, on_call=self.handle_control_call, body_limit=1024 * 1024
        )
        if not hasattr(outcome, "close"):
            raise OSError(str(outcome))

    async def handle_control_call(self, call: HttpCall) -> HttpReply:
        """Handle a call to the control address.

        POST sets the mode of a backend; GET returns the receipts. `/receipts/take` returns and
        removes the receipts of finished requests.
        """
        if call.method == "POST":
            request = json.loads(call.body)
            await self.backends[request.pop("backend")].set_mode(**request)
            return HttpReply(status=200, body=b"{}")
        rows = [row for backend in self.backends.values() for row in backend.receipts]
        if call.url == "/receipts/take":
            for backend in self.backends.values():
                backend.receipts = [row for row in backend.receipts if _is_in_progress(row=row)]
            rows = [row for row in rows if not _is_in_progress(row=row)]
        return HttpReply(status=200, body=json.dumps(rows).encode())


def _is_in_progress(*, row: dict) -> bool:
    """True if the request of this receipt has not been answered yet."""
    return row.get("replied_us") == 0


async def main(path: str) -> None:
    """Serves the plan in a file until SIGTERM or SIGINT."""
    with open(path, encoding="utf-8") as file:  # noqa: ASYNC230 -- before any request is served
        host = Host(plan=json.load(file))
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await host.open()
    await stop.wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
