"""Ignores SIGHUP from the first import of a program on.

Its default action ends a process. A daemon handles it only once its event loop runs, and the
imports before that take up to a second on a busy machine. Programs import this module first.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
