"""The bounds that a deployment sets, with the numbers that hold if it sets none."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any

from kelpstage.common.errors.validation import InvalidField

LEAST_VOTERS = 3


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Spans in whole microseconds, counts, ratios.

    >>> Bounds().tolerance, Bounds(tolerance=2).voters
    (0, 5)
    """

    drain_us: int = 3_000_000  # from the news that a backend leaves to the last request there
    apply_us: int = 3_000_000  # from a put's verdict to the last request under an older one
    revert_us: int = 250_000  # from a request under a new configuration to the last under the old
    touch_us: int = 4_000_000  # how long a machine is up and in reach before it is counted on
    grace_us: int = 6_000_000  # from the request to stop to the end of a process
    recovery_us: int = 12_000_000  # from the return of the machines to service
    retry_ratio: float | None = None  # further sends to first ones; none: the own budget's
    retry_window_us: int = 10_000_000
    retry_slack: int = 20  # further sends that are free in a window
    tolerance: int = 0  # cores whose disks may be lost at once, after a put was acknowledged
    is_first_start: bool = True  # may empty cores found a cluster?
    zones: dict[str, str] = field(default_factory=dict)  # zone -> region
    region: str = ""  # that of this process

    @property
    def voters(self) -> int:
        """Voters that the log needs: as many as stay a majority after the losses."""
        return max(LEAST_VOTERS, 2 * self.tolerance + 1)


def bounds_of(*, settings: dict) -> Bounds:
    """The bounds in judged settings.

    >>> bounds_of(settings={"bounds": {"drain_us": 5}}).drain_us
    5
    """
    known = {one.name for one in fields(Bounds)}
    return Bounds(**{n: v for n, v in settings.get("bounds", {}).items() if n in known})


def voters_of(*, settings: dict) -> int:
    """How many voters the core is to have, if there are as many cores.

    >>> voters_of(settings={}), voters_of(settings={"voters": 7})
    (3, 7)
    >>> voters_of(settings={"bounds": {"tolerance": 2}})
    5
    """
    return settings.get("voters", bounds_of(settings=settings).voters)


def validate_bounds(*, settings: dict) -> list[InvalidField]:
    """Values that can't go together, each told plainly.

    >>> validate_bounds(settings={"voters": 4, "bounds": {"tolerance": 2}})[0].path
    'voters'
    """
    bounds = bounds_of(settings=settings)
    faults: list[InvalidField] = []
    if voters_of(settings=settings) < 2 * bounds.tolerance + 1:
        why = f"{settings['voters']} can't bear the loss of {bounds.tolerance}: {bounds.voters} can"
        faults.append(InvalidField(path="voters", why=why))
    zone_region = bounds.zones.get(settings.get("domain", ""), "")
    if bounds.region and zone_region and zone_region != bounds.region:
        why = f"{bounds.region}, but the zone {settings['domain']} lies in {zone_region}"
        faults.append(InvalidField(path="bounds.region", why=why))
    taken: dict[Any, str] = {}
    for name in ("own", "http", "front"):
        address = settings.get(name)
        if address is not None and address in taken:
            faults.append(InvalidField(path=name, why=f"the same address as {taken[address]}"))
        taken.setdefault(address, name)
    return faults
