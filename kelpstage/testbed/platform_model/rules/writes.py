"""Which configurations may have been in force, and which requests each of them allows."""

from __future__ import annotations

from kelpstage.testbed.platform_model.history import Arrival, History, Order, Request


class Orders:
    """A scenario's configuration writes, indexed by version and by what they allow.

    >>> order = Order(key="k", revision=3, base=0, body=b"", acked_us=5)
    >>> orders = Orders(history=History(orders=[order]))
    >>> orders.newest_acknowledged(at_us=4), orders.newest_acknowledged(at_us=5)
    (0, 3)
    """

    def __init__(self, *, history: History) -> None:
        self.all = sorted(history.orders, key=lambda order: (order.revision, order.sent_us))
        self.possible = [o for o in self.all if o.is_valid and not o.refused_us]
        self._allowing_indices: dict[tuple[str, str, str], tuple[int, ...]] = {}
        self._routeless_indices: dict[tuple[str, str], tuple[int, ...]] = {}

    def newest_acknowledged(self, *, at_us: int) -> int:
        """Return the newest version acknowledged by `at_us`; 0 if there is none."""
        return max(
            (o.revision for o in self.possible if o.acked_us and o.acked_us <= at_us), default=0
        )

    def may_be_in_force(self, *, floor: int, until_us: int) -> list[Order]:
        """Return the writes neither invalid nor refused, from `floor` on, sent by `until_us`."""
        return [o for o in self.possible if o.revision >= floor and o.sent_us <= until_us]

    def allowing(self, *, host: str, target: str, service: str, until_us: int) -> list[int]:
        """Return the possible versions, sent by then, that route the request to the service."""
        key = (host, target.partition("?")[0], service)
        if key not in self._allowing_indices:
            self._allowing_indices[key] = tuple(
                index
                for index, order in enumerate(self.possible)
                if order.allows(host=host, target=target, service=service)
            )
        found = (self.possible[index] for index in self._allowing_indices[key])
        return [order.revision for order in found if order.sent_us <= until_us]

    def without_route(self, *, host: str, target: str, until_us: int) -> list[int]:
        """Return the possible versions without a route for it; 0 stands for no configuration."""
        key = (host, target.partition("?")[0])
        if key not in self._routeless_indices:
            self._routeless_indices[key] = tuple(
                index
                for index, order in enumerate(self.possible)
                if order.route_for(host=host, target=target) is None
            )
        found = (self.possible[index] for index in self._routeless_indices[key])
        return [0, *(order.revision for order in found if order.sent_us <= until_us)]


def is_own_answer(*, request: Request, arrivals: list[Arrival]) -> bool:
    """True if the system produced the answer itself instead of relaying a backend's.

    >>> is_own_answer(request=Request(attempt="a", status=404), arrivals=[])
    True
    """
    return not any(a.status == request.status for a in arrivals)
