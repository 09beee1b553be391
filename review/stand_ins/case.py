"""How a script of the review runs: with or without its disruption, bounded, and cleaned up."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import traceback
from pathlib import Path
from typing import Awaitable, Callable

from stand_ins.deployment import Deployment, Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_S = 118.0

# Plays the case; gives what broke the rule, or an empty text.
Play = Callable[[Deployment, bool], Awaitable[str]]


def run_case(*, folder: Path, play: Play, edges: int = 4) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path=folder / "record.txt")
    record.say(f"case {folder.name}, {'with' if has_trouble else 'without'} the disruption")
    code = COULD_NOT_RUN
    deployment = None
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    try:
        deployment = Deployment(record=record, edges=edges)
        code = asyncio.run(_play(play=play, deployment=deployment, has_trouble=has_trouble))
    except Exception:
        record.say("could not run: " + traceback.format_exc())
    finally:
        if deployment is not None:
            deployment.end()
            if os.environ.get("KEEP") != "1":
                shutil.rmtree(deployment.folder, ignore_errors=True)
    record.say(f"exit code {code}")
    sys.exit(code)


async def _play(*, play: Play, deployment: Deployment, has_trouble: bool) -> int:
    async with asyncio.timeout(LONGEST_S):
        broken = await play(deployment, has_trouble)
    deployment.record.say(f"RULE BROKEN: {broken}" if broken else "the rule held")
    print(broken or "the rule held")
    return BROKEN if broken else HELD
