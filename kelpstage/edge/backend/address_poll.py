"""The platform's list of backends: polled, late, a hint.

A backend that the list calls stopping is not asked while it says so: the platform
knows before the backend does. All else counts only when it changes from one reading
to the next, and only as a reason to check it: a list that lost its rows must not drain
the fleet.
"""

from __future__ import annotations

import json
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, Ports
from kelpstage.common.transport.address import is_address
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.registry import BackendRegistry

POLL_INTERVAL_US = 1_000_000
POLL_TIMEOUT_US = 1_500_000


def read_list(*, body: bytes) -> dict[str, tuple[str, str]] | None:
    """Names with address and state, or `None` if the list can't be read.

    >>> read_list(body=b'{"backends":[{"name":"b","address":"127.0.0.1:9","state":"running"}]}')
    {'b': ('127.0.0.1:9', 'running')}
    >>> read_list(body=b'[]') is None
    True
    """
    try:
        rows = json.loads(body)["backends"]
        return {
            row["name"]: (row["address"], str(row.get("state", "running")))
            for row in rows
            if is_address(address=row["address"]) and isinstance(row["name"], str)
        }
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


class AddressPollTask:
    """Polls the list and passes what changed in it to the registry.

    `on_addresses` is called when an address has changed, `check_soon` with each backend
    that is to be checked, and whether it runs anew.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        url: str,
        registry: BackendRegistry,
        on_changed: Callable[[str], None],
        on_addresses: Callable[[], None],
        check_soon: Callable[[str, bool], None],
    ) -> None:
        self._ports = ports
        self._url = url
        self._registry = registry
        self._on_changed = on_changed
        self._on_addresses = on_addresses
        self._check_soon = check_soon
        self.listed: dict[str, tuple[str, str]] = {}
        self.is_read = False
        ports.keep(self._run())

    def addresses(self) -> dict[str, str]:
        """The addresses of the latest reading, by backend name."""
        return {name: address for name, (address, _) in self.listed.items()}

    async def _run(self) -> None:
        while True:
            reply = await self._ports.net.fetch(
                call=HttpCall(method="GET", url=self._url, wait_us=POLL_TIMEOUT_US)
            )
            if not isinstance(reply, KelpstageError) and reply.status == 200:
                listed = read_list(body=reply.body)
                if listed is not None:
                    self._follow(listed=listed)
            await self._ports.clock.sleep(us=POLL_INTERVAL_US)

    def _follow(self, *, listed: dict[str, tuple[str, str]]) -> None:
        now_us = self._ports.clock.now_us()
        states = {name: state for name, (_, state) in listed.items()}
        self._registry.set_platform_states(states=states, now_us=now_us)
        before, self.listed = self.listed, listed
        was_read, self.is_read = self.is_read, True
        if self.addresses() != {name: a for name, (a, _) in before.items()}:
            self._on_addresses()
        if not was_read:
            before = {}
        for name in sorted(set(before) | set(listed)):
            old = before.get(name, ("", "running"))[1]
            new = listed.get(name, ("", "absent"))[1]
            if old == new or name not in self._registry.entries:
                continue
            if new == "stopping":
                if self._registry.observe(
                    name=name,
                    state=BackendState.DRAINING,
                    why="stopping on the platform's list",
                    now_us=now_us,
                ):
                    self._on_changed(name)
                continue
            self._check_soon(name, new == "running")
