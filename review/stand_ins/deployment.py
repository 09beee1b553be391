"""A small deployment on loopback addresses: the project's own programs as processes.

The start commands are those of deploy/system.toml, the settings have the fields of the
users' page DEPLOY.md, filled by the template `platform/settings.json` (all fields as JSON).
Each machine has a loopback address of its own, and all use the same ports.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"dkr-plateau": "dakar", "ths-nord": "thies", "zig-boucotte": "ziguinchor"}
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "TouchMs": 4000,
    "AckWithinMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RevertSlackMs": 250,
    "StretchMaxMs": 12000,
    "RetryRatio": 0.17,
    "RetryWindowS": 10,
    "RetrySlack": 57,
    "RecoveryS": 12,
}
TRIES = 200  # to find addresses and ports that are free


class Record:
    """What was sent, answered and run: lines with the seconds since the start."""

    def __init__(self, *, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._began_s

    def say(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


@dataclass(frozen=True, kw_only=True)
class Ports:
    """The ports of a deployment, alike on all machines; `own` is the range for its nodes."""

    front: int
    readiness: int
    control: int
    listing: int
    backend: int
    own: tuple[int, int]

    @classmethod
    def starting(cls, *, at: int) -> Ports:
        """Ports in a row."""
        return cls(
            front=at,
            readiness=at + 1,
            control=at + 2,
            listing=at + 3,
            backend=at + 4,
            own=(at + 5, at + 20),
        )


@dataclass(kw_only=True)
class Machine:
    """One machine; `has_disk`: it counts, and runs a core beside its edge."""

    name: str
    ip: str
    ports: Ports
    zone: str
    has_disk: bool
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    @property
    def front(self) -> str:
        """Where clients' connections are passed to."""
        return f"{self.ip}:{self.ports.front}"

    @property
    def readiness(self) -> str:
        """Where the platform asks whether it is ready."""
        return f"{self.ip}:{self.ports.readiness}"

    @property
    def control(self) -> str:
        """Where the operator calls it."""
        return f"{self.ip}:{self.ports.control}"


class Deployment:
    """Machines and their processes, as the platform starts, signals and restarts them."""

    def __init__(self, *, record: Record, edges: int = 4) -> None:
        """`edges` is the number of machines without a disk."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="kelpstage-review-"))
        self.net, self.ports = _free_place()
        self.is_first_start = True
        self.list_address = f"{self.net}.200:{self.ports.listing}"
        zones = list(ZONES)
        self.machines = [
            self.machine(name=f"edge-{zone}-1", place=place + 1, zone=zone, has_disk=True)
            for place, zone in enumerate(zones)
        ] + [
            self.machine(
                name=f"edge-{zones[place % 3]}-{place // 3 + 2}",
                place=place + 11,
                zone=zones[place % 3],
                has_disk=False,
            )
            for place in range(edges)
        ]
        self.seeds = [machine.control for machine in self.cores]
        with (ROOT / "deploy/system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        self._run = {name: role["run"].split() for name, role in roles.items()}

    def machine(self, *, name: str, place: int, zone: str, has_disk: bool) -> Machine:
        """A machine at the address of this place; nothing runs on it yet."""
        ip = f"{self.net}.{place}"
        return Machine(name=name, ip=ip, ports=self.ports, zone=zone, has_disk=has_disk)

    @property
    def cores(self) -> list[Machine]:
        """The machines with a disk."""
        return [machine for machine in self.machines if machine.has_disk]

    def settings(self, *, machine: Machine, role: str) -> dict[str, Any]:
        """The fields of one process's settings."""
        data = {"DataPath": str(self.folder / machine.name)} if role == "core" else {}
        return {
            "NodeName": machine.name,
            "Role": role,
            "MachineClass": "edge",
            "ServedRoles": ["edge"] if role == "edge" else ["control_plane"],
            "Ip": machine.ip,
            "ZoneName": machine.zone,
            "RegionName": ZONES[machine.zone],
            "Zones": ZONES,
            "BindAddrs": {
                "FrontAddr": machine.front,
                "Readiness": machine.readiness,
                "ControlAddr": machine.control,
            },
            "PortRange": list(self.ports.own),
            "SeedAddrs": self.seeds,
            "IsFirstStart": self.is_first_start,
            "LossCounts": machine.has_disk,
            "Limits": {"CpuShare": 0.968, "CoreCount": 2, "MemoryMb": 300, "MaxFds": 4100},
            "DiscoverySource": "cloud_api",
            "EntryKind": "virtual_ip",
            "ContractSet": ["base", "drain", "config", "cost", "retry", "recover", "scatter"],
            "Tolerance": {"MachineLosses": 1, "Zones": 0, "RegionLosses": 0},
            "BoundTable": BOUNDS,
            "CloudApi": {
                "Address": self.list_address,
                "RatePerS": 52.0,
                "DutySet": [],
                "MaxLagMs": 800,
            },
            **data,
        }

    def settings_path(self, *, machine: Machine, role: str) -> Path:
        """Where the settings file of a process lies."""
        return self.folder / f"{machine.name}-{role}.conf"

    def write_settings(self, *, machine: Machine, role: str) -> None:
        """Write the settings now current."""
        path = self.settings_path(machine=machine, role=role)
        path.write_text(json.dumps(self.settings(machine=machine, role=role)))

    def start(self, *, machine: Machine, role: str) -> None:
        """Start one process with the command of the deploy file and the settings now current."""
        self.write_settings(machine=machine, role=role)
        if role == "core":
            (self.folder / machine.name).mkdir(exist_ok=True)
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = (self.folder / f"{machine.name}-{role}.log").open("ab")
        machine.processes[role] = subprocess.Popen(
            self._run[role],
            cwd=ROOT,
            env=keep
            | {
                "KELPSTAGE_SETTINGS": str(self.settings_path(machine=machine, role=role)),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        first = "first start" if self.is_first_start else "not the first start"
        self.record.say(f"platform: starts {role} on {machine.name} ({first})")

    def signal(self, *, machine: Machine, role: str, number: signal.Signals) -> None:
        """Send a signal to one process that this deployment started."""
        machine.processes[role].send_signal(number)
        self.record.say(f"platform: {number.name} to {role} on {machine.name}")

    def kill(self, *, machine: Machine, role: str) -> None:
        """SIGKILL one process, and wait for its end."""
        self.signal(machine=machine, role=role, number=signal.SIGKILL)
        machine.processes.pop(role).wait()

    def wipe(self, *, machine: Machine) -> None:
        """Lose a machine's disk, whose processes don't run."""
        folder = self.folder / machine.name
        if folder.exists():
            folder.rename(self.folder / f"{machine.name}-lost-{time.monotonic_ns()}")
        self.record.say(f"platform: {machine.name} has lost its disk")

    def end(self) -> None:
        """End every process that still runs."""
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()


def _free_place() -> tuple[str, Ports]:
    """The first three numbers of loopback addresses, and ports that are free there."""
    rand = random.Random()
    for _ in range(TRIES):
        net = f"127.{rand.randrange(16, 250)}.{rand.randrange(1, 250)}"
        ports = Ports.starting(at=rand.randrange(10_000, 30_000))
        if all(
            _is_free(address=(f"{net}.{last}", port))
            for last in (1, 2, 3, 11, 200)
            for port in range(ports.front, ports.own[1] + 1)
        ):
            return net, ports
    raise RuntimeError("no free ports")


def _is_free(*, address: tuple[str, int]) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(address)
            except OSError:
                return False
    return True
