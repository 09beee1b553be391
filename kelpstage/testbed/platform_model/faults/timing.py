"""Virtual time."""

from __future__ import annotations

import asyncio


async def sleep(*, s: float) -> None:
    """Sleep for `s` seconds of virtual time."""
    await asyncio.sleep(s)
