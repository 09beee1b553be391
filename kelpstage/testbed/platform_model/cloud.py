"""The platform's discovery API: a paginated instance list with a rate limit."""

from __future__ import annotations

import json
from collections import deque
from urllib.parse import parse_qs

from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.platform_model.backends import BackendPool
from kelpstage.testbed.platform_model.history import History, Shown
from kelpstage.testbed.platform_model.net import COMPLETE, HttpLine, PlatformWorld

PAGE_SIZE = 50
SECOND_US = 1_000_000


class CloudList:
    """Serves `GET /instances`; all pages of one listing come from one snapshot of the list."""

    def __init__(
        self,
        *,
        world: PlatformWorld,
        backend_pool: BackendPool,
        history: History,
        per_s: float,
        page_size: int = PAGE_SIZE,
    ) -> None:
        self._world = world
        self._backend_pool = backend_pool
        self._history = history
        self._per_s = per_s
        self._page_size = page_size
        self._call_times_us: deque[int] = deque()
        self._listings: dict[str, list[dict]] = {}
        self._serial = 0
        self._reported: set[tuple[str, str]] = set()
        self._ever_listed: dict[str, None] = {}
        self.calls = 0
        self.rejected = 0
        self.is_down = False

    def take(self, *, connection: HttpLine, call: HttpCall) -> None:
        """Answer a call; while the API is down it gets no reply."""
        self.calls += 1
        if self.is_down:
            return
        status, page = self._reply(call=call, node=connection.caller.name)
        body = json.dumps(page).encode()
        headers = {"content-type": "application/json"}
        connection.reply(pieces=[(COMPLETE, HttpReply(status=status, headers=headers, body=body))])

    def _reply(self, *, call: HttpCall, node: str) -> tuple[int, dict]:
        now_us = self._world.now_us()
        while self._call_times_us and self._call_times_us[0] <= now_us - SECOND_US:
            self._call_times_us.popleft()
        if len(self._call_times_us) >= self._per_s:
            self.rejected += 1
            return 429, {}
        self._call_times_us.append(now_us)
        path, _, query = call.url.partition("?")
        if path != "/instances":
            return 404, {}
        parameters = parse_qs(query)
        zone = parameters.get("ZoneName", [""])[0]
        token = parameters.get("PageToken", [""])[0]
        listing, _, offset = token.partition("-")
        if token and listing not in self._listings:
            return 400, {}
        if not token:
            self._serial += 1
            listing, offset = f"p{self._serial}", "0"
            self._listings[listing] = self._backend_pool.rows()
            self._listings.pop(f"p{self._serial - 200}", None)
        rows = self._listings[listing]
        matching = [row for row in rows if not zone or row["ZoneName"] == zone]
        start = int(offset)
        shown = matching[start : start + self._page_size]
        is_last = start + self._page_size >= len(matching)
        self._record_leaving(node=node, shown=shown, rows=rows if is_last and not zone else None)
        return 200, {
            "InstanceList": shown,
            "NextToken": None if is_last else f"{listing}-{start + self._page_size}",
        }

    def _record_leaving(self, *, node: str, shown: list[dict], rows: list[dict] | None) -> None:
        leaving = {row["InstanceId"] for row in shown if row["Condition"] == "draining"}
        if rows is not None:
            listed_ids = {row["InstanceId"] for row in rows}
            leaving |= set(self._ever_listed) - listed_ids
            self._ever_listed.update(dict.fromkeys(listed_ids))
        for instance_id in sorted(leaving):
            if (instance_id, node) in self._reported:
                continue
            self._reported.add((instance_id, node))
            self._history.shown.append(
                Shown(instance_id=instance_id, node=node, at_us=self._world.now_us())
            )
