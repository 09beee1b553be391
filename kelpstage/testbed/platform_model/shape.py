"""The deployments of the platform: zones, machines, services, kinds of requests, bounds."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from kelpstage.testbed.platform_model.history import Bounds


@dataclass(frozen=True, kw_only=True)
class ServiceShape:
    """A service: the number of its backends, and how each of them works."""

    name: str
    backends: int
    slots: int
    max_connections: int
    new_line_us: int = 1_000
    pause_us: int = 0
    pause_interval_us: int = 4_000_000


@dataclass(frozen=True, kw_only=True)
class KindShape:
    """A kind of request; `records` is the count in each part of a gathered reply.

    A request with 0 `records` goes to a single backend.
    """

    name: str
    per_s: float
    work_us: int
    aim_us: int
    deadline_us: int
    worth: float
    late_worth: float
    retries: int = 1
    rank: int = 1
    limit: int = 0
    quorum: float = 1.0
    records: int = 0
    is_repeatable: bool = True


@dataclass(frozen=True, kw_only=True)
class Shape:
    """A deployment; `zones` maps each zone to its region.

    The first `core_per_zone` machines of each zone belong to the core. The backends of the index
    are in `index_zones`, in all zones if it is empty.
    """

    name: str
    zones: dict[str, str]
    machines: dict[str, int]
    core_per_zone: int
    index: tuple[str, ...]
    recut: tuple[str, ...]
    single: str
    other: str
    services: dict[str, ServiceShape]
    kinds: tuple[KindShape, ...]
    bounds: Bounds
    zone_us: int
    region_us: int
    client_us: int
    seed_lag_us: int = 3_000_000
    address_reuse_us: int = 2_000_000
    catch_up_us: int = 4_000_000
    list_lag_us: int = 800_000
    list_per_s: float = 52.0
    start_us: int = 12_000_000
    tolerance: int = 1
    index_zones: tuple[str, ...] = ()

    def zones_of(self, *, service: str) -> tuple[str, ...]:
        """The zones that the backends of a service are spread over.

        >>> shape = far_clients(); shape.zones_of(service=shape.index[0])
        ('ams1', 'ens1')
        """
        is_index = service in self.index or service in self.recut
        return self.index_zones if is_index and self.index_zones else tuple(self.zones)


def _services(
    *,
    index: int,
    recut: int,
    per_shard: int,
    max_connections: int,
    pause_us: int,
    single: ServiceShape,
    other: ServiceShape,
) -> dict[str, ServiceShape]:
    out = {single.name: single, other.name: other}
    for stem, count in (("index", index), ("recut", recut)):
        for number in range(count):
            name = f"{stem}{number:02d}"
            out[name] = ServiceShape(
                name=name,
                backends=per_shard,
                slots=2,
                max_connections=max_connections,
                pause_us=pause_us,
            )
    return out


def _names(*, stem: str, count: int) -> tuple[str, ...]:
    return tuple(f"{stem}{number:02d}" for number in range(count))


def senegal() -> Shape:
    """The deployment of a yearbook co-operative.

    >>> shape = senegal(); len(shape.index), sum(shape.machines.values())
    (8, 10)
    """
    return Shape(
        name="senegal",
        zones={"dkr": "dakar", "ths": "thies", "zig": "ziguinchor"},
        machines={"dkr": 4, "ths": 3, "zig": 3},
        core_per_zone=1,
        index=_names(stem="index", count=8),
        recut=_names(stem="recut", count=12),
        single="proofs",
        other="orders",
        services=_services(
            index=8,
            recut=12,
            per_shard=2,
            max_connections=80,
            pause_us=40_000,
            single=ServiceShape(name="proofs", backends=4, slots=2, max_connections=120),
            other=ServiceShape(name="orders", backends=3, slots=2, max_connections=120),
        ),
        kinds=(
            KindShape(
                name="search",
                per_s=54.9,
                work_us=16_500,
                aim_us=139_000,
                deadline_us=800_000,
                worth=2,
                late_worth=0.2,
                limit=50,
                quorum=0.125,
                records=100,
            ),
            KindShape(
                name="preview",
                per_s=22,
                work_us=5_700,
                aim_us=86_400,
                deadline_us=500_000,
                worth=1,
                late_worth=0.1,
                limit=5,
                quorum=0.3,
                records=10,
                rank=2,
            ),
            KindShape(
                name="fetch",
                per_s=33,
                work_us=90_000,
                aim_us=400_000,
                deadline_us=2_500_000,
                worth=1,
                late_worth=0.1,
                rank=2,
            ),
        ),
        bounds=Bounds(),
        zone_us=1_400,
        region_us=8_000,
        client_us=1_000,
    )


def netherlands() -> Shape:
    """The deployment of an association that runs online exams.

    >>> shape = netherlands(); shape.kinds[0].quorum, sum(shape.machines.values())
    (1.0, 12)
    """
    return Shape(
        name="netherlands",
        zones={"ams": "randstad", "ens": "oost", "ein": "zuid"},
        machines={"ams": 4, "ens": 4, "ein": 4},
        core_per_zone=1,
        index=_names(stem="index", count=8),
        recut=_names(stem="recut", count=12),
        single="results",
        other="portal",
        services=_services(
            index=8,
            recut=12,
            per_shard=2,
            max_connections=88,
            pause_us=48_000,
            single=ServiceShape(name="results", backends=3, slots=3, max_connections=130),
            other=ServiceShape(name="portal", backends=3, slots=3, max_connections=130),
        ),
        kinds=(
            KindShape(
                name="full",
                per_s=66.8,
                work_us=11_200,
                aim_us=133_000,
                deadline_us=1_200_000,
                worth=2,
                late_worth=1,
                limit=10,
                quorum=1.0,
                records=20,
            ),
            KindShape(
                name="sweep",
                per_s=26.7,
                work_us=3_750,
                aim_us=84_300,
                deadline_us=800_000,
                worth=1,
                late_worth=0.5,
                limit=5,
                quorum=0.3,
                records=10,
                rank=2,
            ),
            KindShape(
                name="fetch",
                per_s=40.1,
                work_us=90_000,
                aim_us=396_000,
                deadline_us=3_000_000,
                worth=1,
                late_worth=0.5,
                rank=2,
            ),
        ),
        bounds=Bounds(
            touch_us=5_000_000,
            ack_within_us=6_000_000,
            stretch_us=15_000_000,
            retry_ratio=0.2,
            retry_slack=64,
        ),
        zone_us=1_400,
        region_us=12_000,
        client_us=1_000,
    )


def grown() -> Shape:
    """A reduced model of a large fleet: 24 machines in 6 zones, 30 shards of 4 backends.

    >>> shape = grown(); sum(shape.machines.values()), len(shape.services)
    (24, 77)
    """
    small = senegal()
    zones = {
        "dkr1": "dakar",
        "dkr2": "dakar",
        "ths1": "thies",
        "ths2": "thies",
        "zig1": "ziguinchor",
        "zig2": "ziguinchor",
    }
    return replace(
        small,
        name="grown",
        zones=zones,
        machines=dict.fromkeys(zones, 4),
        index=_names(stem="index", count=30),
        recut=_names(stem="recut", count=45),
        services=_services(
            index=30,
            recut=45,
            per_shard=4,
            max_connections=390,
            pause_us=40_000,
            single=ServiceShape(name="proofs", backends=6, slots=2, max_connections=590),
            other=ServiceShape(name="orders", backends=6, slots=2, max_connections=590),
        ),
        kinds=tuple(
            replace(kind, per_s=per_s, work_us=work_us, aim_us=aim_us, quorum=quorum)
            for kind, per_s, work_us, aim_us, quorum in zip(
                small.kinds,
                (47.6, 19.0, 28.6),
                (16_500, 5_700, 135_000),
                (141_000, 87_800, 548_000),
                (1 / 30, 0.3, 1.0),
                strict=True,
            )
        ),
        bounds=Bounds(
            touch_us=6_000_000,
            ack_within_us=8_000_000,
            drain_us=4_000_000,
            apply_us=4_000_000,
            stretch_us=15_000_000,
            retry_ratio=0.087,
            retry_slack=96,
            recovery_us=15_000_000,
            tolerance=2,
        ),
        zone_us=500,
        start_us=16_000_000,
        tolerance=2,
        catch_up_us=6_000_000,
    )


def far_clients() -> Shape:
    """A reduced model of a large fleet: 36 machines in 6 zones of 3 regions, 29 shards.

    The backends are in two regions; clients of the third are 24 ms away from every shard.

    >>> shape = far_clients(); sum(shape.machines.values()), len(shape.index)
    (36, 29)
    """
    small = netherlands()
    zones = {
        "ams1": "randstad",
        "ams2": "randstad",
        "ens1": "oost",
        "ens2": "oost",
        "ein1": "zuid",
        "ein2": "zuid",
    }
    return replace(
        small,
        name="far_clients",
        zones=zones,
        machines=dict.fromkeys(zones, 6),
        index=_names(stem="index", count=29),
        recut=_names(stem="recut", count=43),
        index_zones=("ams1", "ens1"),
        services=_services(
            index=29,
            recut=43,
            per_shard=2,
            max_connections=840,
            pause_us=120_000,
            single=ServiceShape(name="results", backends=6, slots=3, max_connections=1_300),
            other=ServiceShape(name="portal", backends=6, slots=3, max_connections=1_300),
        ),
        kinds=tuple(
            replace(kind, per_s=per_s, aim_us=aim_us)
            for kind, per_s, aim_us in zip(
                small.kinds, (36.1, 14.4, 21.7), (137_000, 87_900, 405_000), strict=True
            )
        ),
        bounds=Bounds(
            touch_us=8_000_000,
            ack_within_us=8_000_000,
            drain_us=5_000_000,
            apply_us=5_000_000,
            stretch_us=20_000_000,
            retry_ratio=0.2,
            retry_slack=440,
            recovery_us=15_000_000,
            tolerance=2,
        ),
        zone_us=900,
        client_us=3_000,
        start_us=16_000_000,
        tolerance=2,
        catch_up_us=6_000_000,
    )


def with_orders(*, shape: Shape, per_s: float = 6.0) -> Shape:
    """The deployment with an additional kind of request that may run only once.

    The descriptions of these deployments have no such kind, but the rules for it apply to
    all of them.

    >>> [kind.is_repeatable for kind in with_orders(shape=senegal()).kinds]
    [True, True, True, False]
    """
    order = KindShape(
        name="order",
        per_s=per_s,
        work_us=40_000,
        aim_us=300_000,
        deadline_us=2_000_000,
        worth=1,
        late_worth=0.1,
        rank=0,
        is_repeatable=False,
    )
    return replace(shape, kinds=(*shape.kinds, order))


SHAPES = {
    "senegal": senegal,
    "netherlands": netherlands,
    "grown": grown,
    "far_clients": far_clients,
}


@dataclass(frozen=True, kw_only=True)
class Scale:
    """The share of a deployment's traffic that is simulated, and for how long."""

    rate: float = 1.0
    seconds: int = 60
    seed: int = 1
    faults: tuple[str, ...] = field(default=())
