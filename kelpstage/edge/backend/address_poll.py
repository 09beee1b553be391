"""Polls the platform's list of backends and applies its changes to the registry.

The list lags behind the actual state, so it is only a hint. A backend that the list shows as
stopping receives no requests while the list says so, because the platform knows of a stop
before the backend does. Any other state has an effect only when it changes between two
polls, and then only triggers a health check: a list that lost its rows must not drain the fleet.
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


def parse_list(*, body: bytes) -> dict[str, tuple[str, str]] | None:
    """Parse a list into address and state by backend name; `None` if it is malformed.

    >>> parse_list(body=b'{"backends":[{"name":"b","address":"127.0.0.1:9","state":"running"}]}')
    {'b': ('127.0.0.1:9', 'running')}
    >>> parse_list(body=b'[]') is None
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
    """Polls the list and passes its changes to the registry.

    `on_changed` is called with each backend whose new state peers are to be notified of,
    `on_addresses` when an address has changed, and `check_soon` with each backend that is to
    be checked and whether the list shows it as running again.
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
        self.has_read_list = False
        ports.spawn_critical(self._run())

    def addresses(self) -> dict[str, str]:
        """The addresses in the latest list, by backend name."""
        return {name: address for name, (address, _) in self.listed.items()}

    async def _run(self) -> None:
        while True:
            reply = await self._ports.net.fetch(
                call=HttpCall(method="GET", url=self._url, wait_us=POLL_TIMEOUT_US)
            )
            if not isinstance(reply, KelpstageError) and reply.status == 200:
                listed = parse_list(body=reply.body)
                if listed is not None:
                    self._apply_list(listed=listed)
            await self._ports.clock.sleep(us=POLL_INTERVAL_US)

    def _apply_list(self, *, listed: dict[str, tuple[str, str]]) -> None:
        now_us = self._ports.clock.now_us()
        states = {name: state for name, (_, state) in listed.items()}
        self._registry.set_platform_states(states=states, now_us=now_us)
        before, self.listed = self.listed, listed
        was_read, self.has_read_list = self.has_read_list, True
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
