"""Faults that a test leaves behind and that no assertion sees.

A task whose exception nobody retrieved, a task destroyed while pending, a coroutine that
was never awaited: the interpreter and asyncio only print these. Here they are collected,
so that the runner can fail the test that caused them.
"""

from __future__ import annotations

import gc
import logging
import sys
import warnings
from types import TracebackType
from typing import Any, Self


class Leftovers(logging.Handler):
    """Collects, while it is entered, what asyncio logs and what is raised in finalizers."""

    def __init__(self) -> None:
        super().__init__(level=logging.WARNING)
        self.reports: list[str] = []
        self._logger = logging.getLogger("asyncio")
        self._handlers: list[logging.Handler] = []
        self._warnings = warnings.catch_warnings()
        self._unraisable_hook = sys.unraisablehook

    def __enter__(self) -> Self:
        self._handlers, self._logger.handlers = self._logger.handlers, [self]
        self._warnings.__enter__()
        # A warning that is raised in a finalizer reaches the hook for unraisable exceptions.
        warnings.filterwarnings("error", r"coroutine .* was never awaited", RuntimeWarning)
        warnings.filterwarnings("error", category=ResourceWarning)
        self._unraisable_hook = sys.unraisablehook
        sys.unraisablehook = self._on_unraisable
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        gc.collect()  # finalizers of what the test left in reference cycles run now
        sys.unraisablehook = self._unraisable_hook
        self._warnings.__exit__(kind, error, traceback)
        self._logger.handlers = self._handlers

    def emit(self, record: logging.LogRecord) -> None:
        """Take in one record of asyncio's log."""
        self.reports.append(self.format(record))

    def _on_unraisable(self, unraisable: Any) -> None:
        error = unraisable.exc_value
        self.reports.append(f"{type(error).__name__}: {error} (in {unraisable.object!r})")
