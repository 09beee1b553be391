"""Virtual time."""

from __future__ import annotations

import asyncio


async def sleep(*, s: float) -> None:
    """Wait so many seconds of virtual time."""
    await asyncio.sleep(s)
