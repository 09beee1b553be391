"""Logging to a ring buffer in memory, which is written out on an error."""

from __future__ import annotations

import sys

import logbook

RING_SIZE = 500


def ring_buffer_handler(*, program: str, stream: object = None) -> logbook.FingersCrossedHandler:
    """Return a handler that buffers the newest records; an ERROR writes out and clears the buffer.

    >>> import io; out = io.StringIO()
    >>> handler = ring_buffer_handler(program="t", stream=out)
    >>> with handler.applicationbound():
    ...     logger(name="x").info("before"); quiet = out.getvalue()
    ...     logger(name="x").error("wrong")
    >>> quiet, "before" in out.getvalue(), "wrong" in out.getvalue()
    ('', True, True)
    """
    writer = logbook.StreamHandler(
        stream or sys.stderr,
        level=logbook.DEBUG,
        format_string=program + " {record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
        "{record.channel}: {record.message}",
        bubble=False,
    )
    return logbook.FingersCrossedHandler(
        writer, action_level=logbook.ERROR, buffer_size=RING_SIZE, reset=True, bubble=False
    )


def logger(*, name: str) -> logbook.Logger:
    """Return a logger for one component of a program.

    >>> logger(name="raft").name
    'raft'
    """
    return logbook.Logger(name)
