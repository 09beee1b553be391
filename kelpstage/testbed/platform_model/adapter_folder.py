"""The modules of the root folder `platform/`. It is no package, lest it hide Python's own."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from types import ModuleType

FOLDER = Path(__file__).resolve().parents[3] / "platform"


def load(*, name: str) -> ModuleType:
    """A module of the folder, as its programs import it.

    >>> load(name="settings").port_of(fields={"PortRange": [7280, 7295]}, place=0)
    7280
    """
    sys.path.insert(0, str(FOLDER))
    try:
        return importlib.import_module(name)
    finally:
        sys.path.remove(str(FOLDER))
