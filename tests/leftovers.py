"""Collects errors that no assertion reports, so that the runner can fail the test.

A task exception that was never retrieved, a task destroyed while pending and a coroutine that
was never awaited are otherwise only printed by asyncio and the interpreter.
"""

from __future__ import annotations

import gc
import logging
import sys
import warnings
from types import TracebackType
from typing import Any, Self


class Leftovers(logging.Handler):
    """Context manager that collects asyncio's log records and exceptions in finalizers."""

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
        gc.collect()  # run the finalizers of objects in reference cycles now
        sys.unraisablehook = self._unraisable_hook
        self._warnings.__exit__(kind, error, traceback)
        self._logger.handlers = self._handlers

    def emit(self, record: logging.LogRecord) -> None:
        """Collects one record of asyncio's log."""
        self.reports.append(self.format(record))

    def _on_unraisable(self, unraisable: Any) -> None:
        error = unraisable.exc_value
        self.reports.append(f"{type(error).__name__}: {error} (in {unraisable.object!r})")
