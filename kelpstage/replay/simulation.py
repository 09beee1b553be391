"""Loads the simulator, which is part of the testbed and not always installed."""

from __future__ import annotations

import importlib
from typing import Protocol

from kelpstage.common.recording.format import Row
from kelpstage.replay.results import Result

SIMULATOR = "kelpstage.testbed.simulation.replay"


class Simulator(Protocol):
    """Replays recordings in a simulated deployment, on virtual time."""

    def deployment_names(self) -> list[str]:
        """Returns the names of the deployments that can be simulated."""

    def replay_in_simulation(
        self, *, rows: list[Row], deployment: str, seed: int, speed: float
    ) -> tuple[list[Result], int]:
        """Returns the results of a replay and the number of skipped rows."""


def load_simulator() -> Simulator | None:
    """Returns the simulator, or `None` if the testbed is not installed."""
    try:
        module: Simulator = importlib.import_module(SIMULATOR)
    except ImportError:
        return None
    return module
