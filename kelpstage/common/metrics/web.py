"""Serves the metrics of a process over HTTP."""

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
BODY_LIMIT = 1024  # bytes; a request for metrics has no body
LAG_SLEEP_US = 10_000
log = logger(name="metrics")

Collect = Callable[[], Iterable[MetricFamily]]


async def metrics_reply(*, clock: Clock, collect: Collect) -> HttpReply:
    """Returns the metrics as text.

    All work happens within the request: nothing runs between two requests.
    """
    lag_family = await _event_loop_lag(clock=clock)
    exposition = await _exposition()
    families = [*collect(), lag_family, *process_families()]
    return HttpReply(
        status=200,
        headers={"Content-Type": exposition.CONTENT_TYPE},
        body=exposition.text_of(families=families),
    )


async def _exposition() -> Any:
    """Returns the module `exposition`; a thread imports it at the first request."""
    module = sys.modules.get(EXPOSITION)
    if module is not None:
        return module
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(None, importlib.import_module, EXPOSITION)


async def _event_loop_lag(*, clock: Clock) -> MetricFamily:
    start_us = clock.now_us()
    await clock.sleep(us=LAG_SLEEP_US)
    lag_us = max(0, clock.now_us() - start_us - LAG_SLEEP_US)
    return MetricFamily.gauge(
        "kelpstage_event_loop_lag_seconds",
        "How late a timer of 10 ms fired during this call.",
        lag_us / 1_000_000,
    )


def process_families() -> Iterator[MetricFamily]:
    """Yields the CPU time and the peak memory of the process."""
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
    """Opens a separate listener for metrics.

    Returns `None` and logs an error if it can't listen at the address: the process runs without it.
    """

    async def serve(call: HttpCall) -> HttpReply:
        if call.url.partition("?")[0] != METRICS_PATH:
            return error_reply(error=UnknownResourceError(path=call.url[:200]))
        if call.method != "GET":
            return error_reply(error=MethodNotAllowedError(method=call.method, allowed="GET"))
        return await metrics_reply(clock=ports.clock, collect=collect)

    outcome = await ports.net.serve_http(address=address, on_call=serve, body_limit=BODY_LIMIT)
    if isinstance(outcome, KelpstageError):
        log.error("can't serve metrics at {}: {}", address, outcome.kind)
        return None
    return outcome
