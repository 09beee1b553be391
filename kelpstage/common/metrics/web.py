"""Answering a call for a process's own figures."""

from __future__ import annotations

import asyncio
import importlib
import resource
import sys
import time
from typing import Any, Callable, Iterable, Iterator

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.requests import MethodNotAllowedError, UnknownResourceError
from kelpstage.common.http.replies import error_reply
from kelpstage.common.log.ring import logger
from kelpstage.common.metrics.families import MetricFamily, MetricKind
from kelpstage.common.ports.interfaces import Clock, HttpCall, HttpReply, Listener, Ports

METRICS_PATH = "/metrics"
EXPOSITION = "kelpstage.common.metrics.exposition"
BODY_LIMIT = 1024  # bytes; a call for figures has no body
LAG_SLEEP_US = 10_000
log = logger(name="metrics")

Collect = Callable[[], Iterable[MetricFamily]]


async def metrics_reply(*, clock: Clock, collect: Collect) -> HttpReply:
    """The figures as text. All of it is work of this call: nothing runs between two calls."""
    lag = await _event_loop_lag(clock=clock)
    exposition = await _exposition()
    families = [*collect(), lag, *process_families()]
    return HttpReply(
        status=200,
        headers={"Content-Type": exposition.CONTENT_TYPE},
        body=exposition.text_of(families=families),
    )


async def _exposition() -> Any:
    """The module that needs the library; imported off the loop at the first call."""
    module = sys.modules.get(EXPOSITION)
    if module is not None:
        return module
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(None, importlib.import_module, EXPOSITION)


async def _event_loop_lag(*, clock: Clock) -> MetricFamily:
    began_us = clock.now_us()
    await clock.sleep(us=LAG_SLEEP_US)
    lag_us = max(0, clock.now_us() - began_us - LAG_SLEEP_US)
    return MetricFamily.gauge(
        "kelpstage_event_loop_lag_seconds",
        "How late a timer of 10 ms fired during this call.",
        lag_us / 1_000_000,
    )


def process_families() -> Iterator[MetricFamily]:
    """Figures of the operating system's process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield MetricFamily(
        name="kelpstage_process_cpu_seconds_total",
        help="Processor time of the process.",
        kind=MetricKind.COUNTER,
        values={(): time.process_time()},
    )
    yield MetricFamily.gauge(
        "kelpstage_process_peak_memory_bytes",
        "The most memory that the process has had resident.",
        usage.ru_maxrss * 1024,
    )


async def open_metrics_listener(*, ports: Ports, address: str, collect: Collect) -> Listener | None:
    """Listen at an address of its own for calls for figures.

    None, and a line in the log, if the address can't be had: a process serves on without it.
    """

    async def serve(call: HttpCall) -> HttpReply:
        if call.url.partition("?")[0] != METRICS_PATH:
            return error_reply(error=UnknownResourceError(path=call.url[:200]))
        if call.method != "GET":
            return error_reply(error=MethodNotAllowedError(method=call.method, allowed="GET"))
        return await metrics_reply(clock=ports.clock, collect=collect)

    outcome = await ports.net.serve_http(address=address, on_call=serve, body_limit=BODY_LIMIT)
    if isinstance(outcome, KelpstageError):
        log.error("no figures at {}: {}", address, outcome.kind)
        return None
    return outcome
