"""Imports modules of the root folder `platform/`.

The folder is not a package, because a package of that name would hide Python's own
module `platform`.
"""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from types import ModuleType

FOLDER = Path(__file__).resolve().parents[3] / "platform"


def load(*, name: str) -> ModuleType:
    """Import a module of the folder the way the programs in it do.

    >>> load(name="settings").port_of(fields={"PortRange": [7280, 7295]}, place=0)
    7280
    """
    sys.path.insert(0, str(FOLDER))
    try:
        return importlib.import_module(name)
    finally:
        sys.path.remove(str(FOLDER))
