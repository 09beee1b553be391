"""One process that serves many stand-in backends, and their control address.

Run by the fleet runner as `python -m kelpstage.testbed.stand_ins.host FILE`.
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
    """The stand-in backends of one process, as a plan in JSON describes them."""

    def __init__(self, *, plan: dict) -> None:
        self.ports = live_ports(data_folder=None)
        self.ports.rand = random.Random(plan["seed"])
        cuts = {n: Cut(name=n, shards=tuple(s)) for n, s in plan["cuts"].items()}
        self.control = plan["control"]
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
            address=self.control, on_call=self.steer, body_limit=1024 * 1024
        )
        if not hasattr(outcome, "close"):
            raise OSError(str(outcome))

    async def steer(self, call: HttpCall) -> HttpReply:
        """Serve the control address, for the fleet runner.

        POST sets the mode of a backend; GET returns the receipts. `/receipts/take` returns and
        removes those of finished requests.
        """
        if call.method == "POST":
            ask = json.loads(call.body)
            await self.backends[ask.pop("backend")].set_mode(**ask)
            return HttpReply(status=200, body=b"{}")
        rows = [row for backend in self.backends.values() for row in backend.receipts]
        if call.url == "/receipts/take":
            for backend in self.backends.values():
                backend.receipts = [row for row in backend.receipts if _is_open(row=row)]
            rows = [row for row in rows if not _is_open(row=row)]
        return HttpReply(status=200, body=json.dumps(rows).encode())


def _is_open(*, row: dict) -> bool:
    """Is this request still being answered?"""
    return row.get("replied_us") == 0


async def main(path: str) -> None:
    """Serve the plan in a file until SIGTERM or SIGINT."""
    with open(path, encoding="utf-8") as file:  # noqa: ASYNC230 -- before anything is served
        host = Host(plan=json.load(file))
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await host.open()
    await stop.wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
