"""The platform's own interface: pages of the list of backends, with a rate limit."""

from __future__ import annotations

import json
from collections import deque
from urllib.parse import parse_qs

from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.platform_model.backends import Park
from kelpstage.testbed.platform_model.history import History, Shown
from kelpstage.testbed.platform_model.net import WHOLE, HttpLine, PlatformWorld

PAGE = 50
SECOND_US = 1_000_000


class CloudList:
    """Serves `GET /instances`; one sweep's pages come from one look at the list."""

    def __init__(
        self, *, world: PlatformWorld, park: Park, history: History, per_s: float, page: int = PAGE
    ) -> None:
        self._world = world
        self._park = park
        self._history = history
        self._per_s = per_s
        self._page = page
        self._times: deque[int] = deque()
        self._sweeps: dict[str, list[dict]] = {}
        self._serial = 0
        self._told: set[tuple[str, str]] = set()
        self._once_listed: dict[str, None] = {}
        self.calls = 0
        self.refused = 0
        self.is_down = False

    def take(self, *, line: HttpLine, call: HttpCall) -> None:
        """Answer a call, or none while it is down."""
        self.calls += 1
        if self.is_down:
            return
        status, page = self._answer(call=call, node=line.caller.name)
        body = json.dumps(page).encode()
        headers = {"content-type": "application/json"}
        line.reply(pieces=[(WHOLE, HttpReply(status=status, headers=headers, body=body))])

    def _answer(self, *, call: HttpCall, node: str) -> tuple[int, dict]:
        now_us = self._world.now_us()
        while self._times and self._times[0] <= now_us - SECOND_US:
            self._times.popleft()
        if len(self._times) >= self._per_s:
            self.refused += 1
            return 429, {}
        self._times.append(now_us)
        path, _, query = call.url.partition("?")
        if path != "/instances":
            return 404, {}
        asked = parse_qs(query)
        zone = asked.get("ZoneName", [""])[0]
        token = asked.get("PageToken", [""])[0]
        sweep, _, at = token.partition("-")
        if token and sweep not in self._sweeps:
            return 400, {}
        if not token:
            self._serial += 1
            sweep, at = f"p{self._serial}", "0"
            self._sweeps[sweep] = self._park.rows()
            self._sweeps.pop(f"p{self._serial - 200}", None)
        rows = self._sweeps[sweep]
        wanted = [row for row in rows if not zone or row["ZoneName"] == zone]
        begin = int(at)
        shown = wanted[begin : begin + self._page]
        is_last = begin + self._page >= len(wanted)
        self._note(node=node, shown=shown, rows=rows if is_last and not zone else None)
        return 200, {
            "InstanceList": shown,
            "NextToken": None if is_last else f"{sweep}-{begin + self._page}",
        }

    def _note(self, *, node: str, shown: list[dict], rows: list[dict] | None) -> None:
        leaving = {row["InstanceId"] for row in shown if row["Condition"] == "draining"}
        if rows is not None:
            there = {row["InstanceId"] for row in rows}
            leaving |= set(self._once_listed) - there
            self._once_listed.update(dict.fromkeys(there))
        for instance_id in sorted(leaving):
            if (instance_id, node) in self._told:
                continue
            self._told.add((instance_id, node))
            self._history.shown.append(
                Shown(instance_id=instance_id, node=node, at_us=self._world.now_us())
            )
