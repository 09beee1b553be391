"""Timeouts on the running event loop, real or simulated."""

from __future__ import annotations

import asyncio
from typing import Any, Coroutine, TypeVar

Result = TypeVar("Result")


async def run_within(coroutine: Coroutine[Any, Any, Result], *, us: int) -> Result | None:
    """Run a coroutine for at most `us` microseconds of loop time.

    Returns its result, or `None` if it was cancelled on timeout; no task outlives the call. A
    `TimeoutError` that the coroutine itself raises is passed on.
    """
    try:
        async with asyncio.timeout(max(0, us) / 1_000_000) as limit:
            return await coroutine
    except TimeoutError:
        if not limit.expired():
            raise
        return None
