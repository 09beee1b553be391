"""Where the replay finds the simulator, which only an installed testbed brings along."""

from __future__ import annotations

import importlib
from typing import Protocol

from kelpstage.common.recording.format import Row
from kelpstage.replay.results import Result

SIMULATOR = "kelpstage.testbed.simulation.replay"


class Simulator(Protocol):
    """Replays recordings in a simulated deployment, on virtual time."""

    def deployment_names(self) -> list[str]:
        """The deployments that can be simulated."""

    def replay_in_simulation(
        self, *, rows: list[Row], deployment: str, seed: int, speed: float
    ) -> tuple[list[Result], int]:
        """The results of a replay, and how many rows were left out."""


def load_simulator() -> Simulator | None:
    """The simulator, or nothing if the testbed is not installed."""
    try:
        module: Simulator = importlib.import_module(SIMULATOR)
    except ImportError:
        return None
    return module
