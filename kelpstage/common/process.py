"""How a daemon starts, hears SIGTERM, and ends."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.log.ring import install_ring, logger
from kelpstage.common.ports.interfaces import Ports
from kelpstage.common.ports.live import live_ports

WATCH_S = 1.0
log = logger(name="daemon")


def run_daemon(
    *,
    program: str,
    data_folder: str | None,
    build: Callable[[Ports], Any],
    watch: str | None = None,
    read_settings: Callable[[], dict] | None = None,
) -> None:
    """Run a daemon until SIGTERM or SIGINT. Exit code 1 if it cannot open, 70 if a
    task without which it is of no use broke.

    With `read_settings` they are read again on SIGHUP, and when the file `watch` changes;
    the daemon's `reload_settings` takes over what may change while it runs. Settings that are
    broken then change nothing."""
    with install_ring(program=program).applicationbound():
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


class SettingsWatch:
    """Reads the settings again when it is told to, or when their file has changed."""

    def __init__(self, *, daemon: Any, read_settings: Callable[[], dict], path: str | None) -> None:
        self._daemon = daemon
        self._read = read_settings
        self._path = path
        self._stamp = self._look()

    def _look(self) -> tuple:
        try:
            found = os.stat(self._path) if self._path else None
        except OSError:
            found = None
        return () if found is None else (found.st_mtime_ns, found.st_size, found.st_ino)

    def reread(self) -> None:
        """Read the settings now; broken ones change nothing."""
        self._stamp = self._look()
        try:
            self._daemon.reload_settings(settings=self._read())
        except SystemExit:
            log.error("the settings can't be read again; those before stay")

    async def run(self) -> None:
        """Look at the file once a second, until cancelled."""
        while self._path:
            await asyncio.sleep(WATCH_S)
            if self._look() != self._stamp:
                self.reread()


async def _main(
    *,
    program: str,
    data_folder: str | None,
    build: Callable[[Ports], Any],
    watch: str | None,
    read_settings: Callable[[], dict] | None,
) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_on_exception)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    ports = live_ports(data_folder=data_folder)
    broken: list[BaseException] = []

    def end_broken(error: BaseException) -> None:
        broken.append(error)
        stop.set()

    ports.on_broken = end_broken
    daemon = build(ports)
    error = await daemon.open()
    if isinstance(error, KelpstageError):
        print(f"{program}: {error.kind}: {error.as_json()}", file=sys.stderr)
        return 1
    log.info("{} is open", program)
    if read_settings is not None:
        watcher = SettingsWatch(daemon=daemon, read_settings=read_settings, path=watch)
        loop.add_signal_handler(signal.SIGHUP, watcher.reread)
        ports.keep(watcher.run())
    await stop.wait()
    if broken:
        error = broken[0]
        log.exception(
            "{} ends, a task broke: {}: {}",
            program,
            type(error).__name__,
            error,
            exc_info=(type(error), error, error.__traceback__),
        )
        return 70
    log.info("{} is told to stop", program)
    await daemon.stop()
    return 0


def _on_exception(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    error = context.get("exception")
    text = f"{type(error).__name__}: {error}" if error else context.get("message", "")
    if isinstance(error, Exception):
        log.exception("a task broke: {}", text, exc_info=(type(error), error, error.__traceback__))
        return
    log.error("a task broke: {}", text)
