"""Waiting with a limit on the running event loop, whatever drives its time."""

from __future__ import annotations

import asyncio
from typing import Any, Coroutine, TypeVar

Result = TypeVar("Result")


async def run_within(coroutine: Coroutine[Any, Any, Result], *, us: int) -> Result | None:
    """Run a coroutine for at most `us` microseconds of the loop's time.

    Its result, or `None` if it was cancelled because its time was over; no task outlives
    the call. A `TimeoutError` of the coroutine's own is raised as it is.
    """
    try:
        async with asyncio.timeout(max(0, us) / 1_000_000) as limit:
            return await coroutine
    except TimeoutError:
        if not limit.expired():
            raise
        return None
