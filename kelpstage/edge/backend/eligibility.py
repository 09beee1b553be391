"""Decides whether a backend may receive requests now, and how it may be checked."""

from __future__ import annotations

from enum import Enum

from kelpstage.common.configuration.types import Configuration
from kelpstage.edge.backend.backend_state import STATE_NAMES, BackendState
from kelpstage.edge.backend.entry import BackendEntry
from kelpstage.edge.backend.instance_registry import InstanceRegistry
from kelpstage.edge.backend.platform_states import PlatformStates
from kelpstage.edge.backend.suspected_instances import (
    UNREACHABLE_REPORT_TTL_US,
    is_reported_unreachable,
)

DRAIN_RECHECK_US = 30_000_000  # interval of the health checks of a draining backend


class CheckKind(Enum):
    """Ways to check a declared backend."""

    HEALTH_CHECK = "health check"  # an HTTP request
    CONNECT_CHECK = "connect check"  # a connection on which no byte is sent
    NONE = "none"


class Eligibility:
    """Decides from the entries and the platform's list; holds no state of its own."""

    def __init__(
        self, *, me: str, instances: InstanceRegistry, platform_states: PlatformStates
    ) -> None:
        self._me = me
        self._instances = instances
        self._platform_states = platform_states

    def refusal(self, *, name: str, configuration: Configuration, now_us: int) -> str:
        """Return why this backend may not receive requests now; empty if it may."""
        known = self._instances.entries.get(name)
        if known is not None and known.is_discovered:
            return self.refusal_of_instance(entry=known, now_us=now_us)
        backend = configuration.backends.get(name)
        if backend is None:
            return "not declared"
        if backend.is_draining:
            return "label drain"
        entry = self._instances.entry(name=name)
        if not entry.address:
            return "no address known"
        if self._platform_states.is_stopping(name=name, now_us=now_us):
            return "stopping on the platform's list"
        if entry.state != BackendState.UP:
            return f"{STATE_NAMES[entry.state]} ({entry.why})"
        if self.is_unreachable(name=name):
            return "dark"
        return ""

    def refusal_of_instance(self, *, entry: BackendEntry, now_us: int) -> str:
        """Return why an instance may not receive requests now; empty if it may."""
        if entry.removed_us:
            return "not on the list"
        if entry.state == BackendState.DRAINING:
            return f"draining ({entry.why})"
        if entry.outlier_statistics.ejected_until_us:
            if now_us < entry.outlier_statistics.ejected_until_us:
                return "shunned"
            if entry.in_flight:
                return "on trial"
        if 0 < entry.connection_limit <= entry.in_flight:
            return "connection limit reached"
        return ""

    def is_unreachable(self, *, name: str) -> bool:
        """True if the backend did not answer requests of this edge."""
        return self._me in self._instances.entry(name=name).unreachable_by

    def is_suspected(self, *, name: str, now_us: int) -> bool:
        """True if other backends are preferred to this one.

        It sent invalid replies recently, several edges report it unreachable, or the
        platform's list does not contain it.
        """
        entry = self._instances.entry(name=name)
        if now_us < entry.suspected_until_us:
            return True
        if self._platform_states.is_missing(name=name, now_us=now_us):
            return True
        # A suspected backend is only ranked last, never refused: otherwise each side of a network
        # partition would exclude the other side's backends and have none left when it heals.
        if now_us - entry.responded_us < UNREACHABLE_REPORT_TTL_US:
            return False
        return is_reported_unreachable(entry=entry, now_us=now_us)

    def allowed_check(
        self, *, name: str, configuration: Configuration, now_us: int, is_first: bool
    ) -> CheckKind:
        """Return how a declared backend may be checked now.

        A backend that is draining or gone gets no request, not even a health check. It gets
        connect checks instead: a gone backend until it accepts connections again, a draining
        one until it refuses them. The first of a backend's checkers (`is_first`) also sends a
        health check once per `DRAIN_RECHECK_US`, so that a cancelled drain is noticed.
        """
        declared = configuration.backends.get(name)
        if declared is not None and declared.is_draining:
            return CheckKind.NONE
        if self._platform_states.is_stopping(name=name, now_us=now_us):
            return CheckKind.CONNECT_CHECK
        entry = self._instances.entry(name=name)
        if entry.state not in (BackendState.DRAINING, BackendState.GONE):
            return CheckKind.HEALTH_CHECK
        since_us = max(entry.since_us, entry.drain_checked_us)
        is_due = entry.state == BackendState.DRAINING and now_us - since_us >= DRAIN_RECHECK_US
        if is_due and is_first:
            entry.drain_checked_us = now_us
            return CheckKind.HEALTH_CHECK
        return CheckKind.CONNECT_CHECK
