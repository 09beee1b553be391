"""Derives the health and the latency of backends and peers from their replies."""

from __future__ import annotations

from typing import Any, Callable

from kelpstage.common.errors.backends import (
    BackendFailedError,
    InvalidReplyError,
    RequestNotRunError,
)
from kelpstage.common.errors.serving import CallerGoneError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.ports.interfaces import HttpReply, Ports
from kelpstage.common.transport.messages import Gathered
from kelpstage.edge.backend import outlier_detection
from kelpstage.edge.backend.backend_state import BackendState
from kelpstage.edge.backend.reply import ValidatedPart
from kelpstage.edge.forward.sealed_answer import ForwardedReply
from kelpstage.edge.gather.context import GatherContext
from kelpstage.edge.gather.messages import BackendReplied, ChildReplied

STATE_HEADER = "kelp-state"
MISDIRECTED_REQUEST = 421  # HTTP status: the address belongs to another instance


class ReplyObserver:
    """Updates the registry, the latency estimates and the gossip state from every outcome."""

    def __init__(
        self,
        *,
        ports: Ports,
        context: GatherContext,
        on_backend_changed: Callable[[str], None],
    ) -> None:
        """`on_backend_changed` is called with the name of a backend whose state changed."""
        self._ports = ports
        self._context = context
        self._on_backend_changed = on_backend_changed

    def on_backend_reply(self, *, event: BackendReplied) -> None:
        """Update the state of a backend from a reply, or from its absence."""
        context = self._context
        now_us = self._ports.clock.now_us()
        context.statistics.note_backend_reply(outcome=event.outcome, took_us=now_us - event.sent_us)
        entry = context.registry.entries.get(event.backend)
        if entry is not None:
            entry.in_flight = max(0, entry.in_flight - 1)
        if isinstance(event.outcome, CallerGoneError):
            return  # this node cancelled the attempt, so it shows nothing about the backend
        if entry is not None and entry.is_discovered:
            self._observe_instance(event=event, now_us=now_us)
            return
        outcome = event.outcome
        if isinstance(outcome, ConnectError):
            if context.registry.observe(
                name=event.backend, state=BackendState.GONE, why="connection refused", now_us=now_us
            ):
                self._on_backend_changed(event.backend)
            return
        if isinstance(outcome, (ReplyTimeoutError, ConnectionLostError)):
            if context.registry.note_no_answer(name=event.backend, now_us=now_us):
                self._on_backend_changed(event.backend)
            if isinstance(outcome, ReplyTimeoutError):
                context.latencies.observe(
                    name=event.backend, took_us=now_us - event.sent_us, now_us=now_us
                )
            return
        context.registry.note_response(name=event.backend, now_us=now_us)
        if isinstance(outcome, InvalidReplyError):
            context.registry.note_invalid_reply(name=event.backend, now_us=now_us)
            self._on_backend_changed(event.backend)
        else:
            context.registry.note_valid_reply(name=event.backend)
        context.latencies.observe(name=event.backend, took_us=now_us - event.sent_us, now_us=now_us)

    def _observe_instance(self, *, event: BackendReplied, now_us: int) -> None:
        """Update the state of a discovered instance from the outcome of an attempt."""
        registry, name, outcome = self._context.registry, event.backend, event.outcome
        took_us = now_us - event.sent_us
        if (
            isinstance(outcome, ValidatedPart)
            or isinstance(outcome, ForwardedReply)
            and outcome.status < 500
        ):
            self._count_answer(event=event, now_us=now_us)
            registry.note_answer(name=name, took_us=took_us, now_us=now_us)
            self._context.latencies.observe(name=name, took_us=took_us, now_us=now_us)
            return
        if isinstance(outcome, RequestNotRunError) and outcome.answer != MISDIRECTED_REQUEST:
            registry.note_overloaded(name=name, now_us=now_us)
            return
        if isinstance(outcome, ReplyTimeoutError) and not outcome.was_sent:
            return  # it waited in this node for a connection
        if isinstance(outcome, (BackendFailedError, ForwardedReply)):
            registry.version_statistics.note_failure(
                entry=registry.entry(name=name), route=event.route
            )
        why = failure_kind(outcome=outcome)
        if isinstance(outcome, ReplyTimeoutError):
            self._context.latencies.observe(name=name, took_us=took_us, now_us=now_us)
        if registry.note_failure(name=name, why=why, now_us=now_us, waited_us=took_us):
            self._on_backend_changed(name)

    def _count_answer(self, *, event: BackendReplied, now_us: int) -> None:
        """Count an answer for a rollout; an instance that still warms up is slow in any version."""
        registry = self._context.registry
        entry = registry.entry(name=event.backend)
        if registry.version_routing.rolling_of(service=entry.service) is None:
            return
        is_warm = now_us >= entry.warming_up_until_us
        registry.version_statistics.note_answer(
            entry=entry,
            route=event.route,
            took_us=max(0, event.exchange_us - entry.distance_us) if is_warm else None,
            median_us=registry.median_us(service=entry.service, now_us=now_us),
        )

    def on_child_reply(self, *, event: ChildReplied) -> None:
        """Update the state of a peer from a reply, or from its absence."""
        context = self._context
        now_us = self._ports.clock.now_us()
        context.statistics.note_child_reply(
            outcome=event.outcome,
            took_us=now_us - event.sent_us,
            is_far=context.is_far(name=event.node),
        )
        if isinstance(event.outcome, Gathered):
            context.note_reply(name=event.node)
        if isinstance(event.outcome, Gathered) and not event.outcome.is_stale:
            context.latencies.observe(
                name=f"node:{event.node}", took_us=now_us - event.sent_us, now_us=now_us
            )
            return
        if isinstance(event.outcome, (ConnectError, ConnectionLostError)):
            context.swim.suspect(name=event.node, now_us=now_us, why=event.outcome.kind)

    def note_draining(self, *, reply: HttpReply, backend: str) -> None:
        """Mark a backend as draining if its reply says so."""
        if reply.headers.get(STATE_HEADER) != "draining":
            return
        now_us = self._ports.clock.now_us()
        if self._context.registry.observe(
            name=backend, state=BackendState.DRAINING, why="sign in a reply", now_us=now_us
        ):
            self._on_backend_changed(backend)


def failure_kind(*, outcome: Any) -> str:
    """Return the kind of a failure for outlier detection.

    >>> failure_kind(outcome=ConnectError(address="a"))
    'refused'
    """
    if isinstance(outcome, (ConnectError, RequestNotRunError)):
        return outlier_detection.REFUSED
    if isinstance(outcome, ReplyTimeoutError):
        return outlier_detection.SILENT
    if isinstance(outcome, ConnectionLostError):
        return outlier_detection.RESET
    return (
        outlier_detection.GARBLED
        if isinstance(outcome, InvalidReplyError)
        else outlier_detection.FAILED
    )
