"""Start of a daemon, its signals and its shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.log.ring import logger, ring_buffer_handler
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.ports.live import live_ports

WATCH_INTERVAL_S = 1.0
log = logger(name="daemon")


def run_daemon(
    *,
    program: str,
    data_folder: str | None,
    build: Callable[[Ports], Any],
    watch: str | None = None,
    read_settings: Callable[[], dict] | None = None,
) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    The exit code is 1 if it cannot open, and 70 if a task that it cannot run without fails.

    With `read_settings`, the settings are read again on SIGHUP and when the file `watch` changes;
    the daemon's `reload_settings` applies those that may change at run time. Invalid settings
    are ignored.
    """
    with ring_buffer_handler(program=program).applicationbound():
        code = asyncio.run(
            _main(
                program=program,
                data_folder=data_folder,
                build=build,
                watch=watch,
                read_settings=read_settings,
            )
        )
    raise SystemExit(code)


class SettingsWatcher:
    """Reads the settings again on request or when their file changes."""

    def __init__(self, *, daemon: Any, read_settings: Callable[[], dict], path: str | None) -> None:
        self._daemon = daemon
        self._read = read_settings
        self._path = path
        self._last_state = self._file_state()

    def _file_state(self) -> tuple:
        try:
            found = os.stat(self._path) if self._path else None
        except OSError:
            found = None
        return () if found is None else (found.st_mtime_ns, found.st_size, found.st_ino)

    def reload(self) -> None:
        """Read the settings now; invalid ones are ignored."""
        self._last_state = self._file_state()
        try:
            self._daemon.reload_settings(settings=self._read())
        except SystemExit:
            log.error("cannot reload the settings; keeping the previous ones")

    async def run(self) -> None:
        """Check the file once a second, until cancelled."""
        while self._path:
            await asyncio.sleep(WATCH_INTERVAL_S)
            if self._file_state() != self._last_state:
                self.reload()


async def _main(
    *,
    program: str,
    data_folder: str | None,
    build: Callable[[Ports], Any],
    watch: str | None,
    read_settings: Callable[[], dict] | None,
) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_exception)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    ports = live_ports(data_folder=data_folder)
    failures: list[BaseException] = []

    def on_critical_failure(error: BaseException) -> None:
        failures.append(error)
        stop.set()

    ports.on_critical_failure = on_critical_failure
    daemon = build(ports)
    error = await daemon.open()
    if isinstance(error, KelpstageError):
        print(f"{program}: {error.kind}: {error.as_json()}", file=sys.stderr)
        return 1
    log.info("{} is running", program)
    if read_settings is not None:
        watcher = SettingsWatcher(daemon=daemon, read_settings=read_settings, path=watch)
        loop.add_signal_handler(signal.SIGHUP, watcher.reload)
        ports.spawn_critical(watcher.run())
    await stop.wait()
    if failures:
        error = failures[0]
        log.exception(
            "{} exits: a critical task failed: {}: {}",
            program,
            type(error).__name__,
            error,
            exc_info=(type(error), error, error.__traceback__),
        )
        return 70
    log.info("{} received a signal to stop", program)
    await daemon.stop()
    return 0


def _log_exception(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    error = context.get("exception")
    text = f"{type(error).__name__}: {error}" if error else context.get("message", "")
    if isinstance(error, Exception):
        log.exception(
            "unhandled exception in a task: {}",
            text,
            exc_info=(type(error), error, error.__traceback__),
        )
        return
    log.error("event loop error: {}", text)
