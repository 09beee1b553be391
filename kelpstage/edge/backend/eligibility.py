"""May a backend be asked now, and by what may it be checked?"""

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

DRAIN_RECHECK_US = 30_000_000  # a draining backend gets one health check in so long


class CheckKind(Enum):
    """How a declared backend may be checked now."""

    HEALTH_CHECK = "health check"  # by a request
    CONNECT_CHECK = "connect check"  # by a bare connection, without a byte
    NONE = "none"


class Eligibility:
    """Answers from the entries and the platform's list; owns no state."""

    def __init__(
        self, *, me: str, instances: InstanceRegistry, platform_states: PlatformStates
    ) -> None:
        self._me = me
        self._instances = instances
        self._platform_states = platform_states

    def refusal(self, *, name: str, configuration: Configuration, now_us: int) -> str:
        """Why this backend may not be asked now; empty if it may."""
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
        """Why an instance may not be asked now; empty if it may."""
        if entry.gone_us:
            return "not on the list"
        if entry.state == BackendState.DRAINING:
            return f"draining ({entry.why})"
        if entry.seen.ejected_until_us:
            if now_us < entry.seen.ejected_until_us:
                return "shunned"
            if entry.in_flight:
                return "on trial"
        if 0 < entry.connection_limit <= entry.in_flight:
            return "no free line"
        return ""

    def is_unreachable(self, *, name: str) -> bool:
        """Did it give this edge itself no answer?"""
        return self._me in self._instances.entry(name=name).unreachable_by

    def is_suspected(self, *, name: str, now_us: int) -> bool:
        """Did it send invalid replies a moment ago, do peers report it unreachable, or
        does the platform's list leave it out? Then others are asked first."""
        entry = self._instances.entry(name=name)
        if now_us < entry.suspected_until_us:
            return True
        if self._platform_states.is_missing(name=name, now_us=now_us):
            return True
        # Not more than asked last: two sides of a network partition would otherwise
        # condemn each other's backends, and have none left when it heals.
        if now_us - entry.responded_us < UNREACHABLE_REPORT_TTL_US:
            return False
        return is_reported_unreachable(entry=entry, now_us=now_us)

    def allowed_check(
        self, *, name: str, configuration: Configuration, now_us: int, is_first: bool
    ) -> CheckKind:
        """How a declared backend may be checked now.

        One that is known to drain or to be gone gets no request, not even a health
        check. One that is gone is connected to until it accepts again; one that drains,
        until it refuses. So that a drain that was called off does not last for ever, the
        first of its checkers (`is_first`) asks it once in `DRAIN_RECHECK_US`.
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
