"""The section `bounds` of the settings: limits that a deployment sets, with their defaults."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any

from kelpstage.common.errors.validation import InvalidField

MIN_VOTERS = 3


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Limits of a deployment: durations in microseconds, counts and ratios.

    >>> Bounds().tolerance, Bounds(tolerance=2).voters
    (0, 5)
    """

    drain_us: int = 3_000_000  # from the notice that a backend leaves to its last request
    apply_us: int = 3_000_000  # from the reply to a put to the last request under an older version
    revert_us: int = 250_000  # from a request under a new version to the last under the old one
    touch_us: int = 4_000_000  # time that a machine is up and reachable before it is relied on
    grace_us: int = 6_000_000  # from the stop request to the exit of the process
    ack_within_us: int = 8_000_000  # an order of a rollout may be sent again for so long
    recovery_us: int = 12_000_000  # from the return of the machines until they serve again
    retry_ratio: float | None = None  # retries per first attempt; None: the budget's own ratio
    retry_window_us: int = 10_000_000
    retry_slack: int = 20  # retries per window that the ratio does not limit
    bad_traffic_share: float = 0.1  # of a service's requests, that a bad version may receive
    tolerance: int = (
        0  # cores that may lose their disks at once without loss of an acknowledged put
    )
    is_first_start: bool = True  # true if cores without data may create a new cluster
    zones: dict[str, str] = field(default_factory=dict)  # zone -> region
    region: str = ""  # region of this process

    @property
    def voters(self) -> int:
        """Number of voters whose majority survives the tolerated losses."""
        return max(MIN_VOTERS, 2 * self.tolerance + 1)


def bounds_of(*, settings: dict) -> Bounds:
    """Returns the bounds of validated settings.

    >>> bounds_of(settings={"bounds": {"drain_us": 5}}).drain_us
    5
    """
    names = {bound.name for bound in fields(Bounds)}
    return Bounds(**{n: v for n, v in settings.get("bounds", {}).items() if n in names})


def voters_of(*, settings: dict) -> int:
    """Returns the number of voters that the core has once there are enough cores.

    >>> voters_of(settings={}), voters_of(settings={"voters": 7})
    (3, 7)
    >>> voters_of(settings={"bounds": {"tolerance": 2}})
    5
    """
    return settings.get("voters", bounds_of(settings=settings).voters)


def validate_bounds(*, settings: dict) -> list[InvalidField]:
    """Returns an error for each combination of values that contradict each other.

    >>> validate_bounds(settings={"voters": 4, "bounds": {"tolerance": 2}})[0].path
    'voters'
    """
    bounds = bounds_of(settings=settings)
    faults: list[InvalidField] = []
    if voters_of(settings=settings) < 2 * bounds.tolerance + 1:
        why = (
            f"{settings['voters']} voters can't tolerate the loss of {bounds.tolerance}: "
            f"at least {bounds.voters} are needed"
        )
        faults.append(InvalidField(path="voters", why=why))
    zone_region = bounds.zones.get(settings.get("domain", ""), "")
    if bounds.region and zone_region and zone_region != bounds.region:
        why = f"{bounds.region}, but zone {settings['domain']} is in {zone_region}"
        faults.append(InvalidField(path="bounds.region", why=why))
    used: dict[Any, str] = {}
    for name in ("own", "http", "front"):
        address = settings.get(name)
        if address is not None and address in used:
            faults.append(InvalidField(path=name, why=f"has the same address as {used[address]}"))
        used.setdefault(address, name)
    return faults
