"""Distances from this edge to the zones, and the cost of traffic between zones."""

from __future__ import annotations

from dataclasses import dataclass, field

SAME_ZONE_US, SAME_REGION_US, FAR_US = 1_000, 3_000, 22_000  # assumed round trips
REGION_CHARGE_US = 25_000  # traffic between regions is expensive
ZONE_CHARGE_US = 3_000


@dataclass(kw_only=True)
class ZoneDistances:
    """Zones and their regions; a round trip is assumed until one was measured.

    >>> regions = {"a1": "a", "a2": "a", "b1": "b"}
    >>> zone_distances = ZoneDistances(zone="a1", region="a", zones=regions)
    >>> [zone_distances.distance_us(zone=zone) for zone in ("a1", "a2", "b1")]
    [1000, 3000, 22000]
    >>> zone_distances.note_round_trip(zone="b1", took_us=16_400)
    >>> zone_distances.distance_us(zone="b1")
    16400
    """

    zone: str = ""
    region: str = ""
    zones: dict[str, str] = field(default_factory=dict)
    measured: dict[str, int] = field(default_factory=dict)

    def is_same_region(self, *, zone: str) -> bool:
        """True if a zone is this edge's own or is known to be in the same region."""
        region = self.zones.get(zone)
        return zone == self.zone or region is not None and region == self.own_region()

    def own_region(self) -> str | None:
        """Return the region of this edge; `None` if it is not known."""
        return self.region or self.zones.get(self.zone)

    def distance_us(self, *, zone: str) -> int:
        """Return the round trip to a zone, in microseconds."""
        if zone in self.measured:
            return self.measured[zone]
        if zone == self.zone:
            return SAME_ZONE_US
        return SAME_REGION_US if self.is_same_region(zone=zone) else FAR_US

    def charge_us(self, *, zone: str) -> int:
        """Return the price of traffic to a zone, expressed as time in microseconds."""
        if zone == self.zone:
            return 0
        return ZONE_CHARGE_US if self.is_same_region(zone=zone) else REGION_CHARGE_US

    def note_round_trip(self, *, zone: str, took_us: int) -> None:
        """Record a measured round trip to a node in a zone.

        A shorter one applies at once; a longer one moves the estimate by a sixteenth.
        """
        known = self.measured.get(zone, took_us)
        self.measured[zone] = min(took_us, known + (took_us - known) // 16)
