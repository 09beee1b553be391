"""Which configurations may have been in force, and what each of them allowed."""

from __future__ import annotations

from kelpstage.testbed.platform_model.history import Arrival, History, Order, Request


class Orders:
    """A scenario's configurations by what their operators know of them.

    >>> order = Order(key="k", revision=3, base=0, body=b"", acked_us=5)
    >>> orders = Orders(history=History(orders=[order]))
    >>> orders.floor(at_us=4), orders.floor(at_us=5)
    (0, 3)
    """

    def __init__(self, *, history: History) -> None:
        self.all = sorted(history.orders, key=lambda order: (order.revision, order.sent_us))
        self.possible = [o for o in self.all if o.is_valid and not o.refused_us]
        self._allowed: dict[tuple[str, str, str], tuple[int, ...]] = {}
        self._missing: dict[tuple[str, str], tuple[int, ...]] = {}

    def floor(self, *, at_us: int) -> int:
        """The newest version that was acknowledged by then; 0 for none."""
        return max(
            (o.revision for o in self.possible if o.acked_us and o.acked_us <= at_us), default=0
        )

    def may_be_in_force(self, *, floor: int, until_us: int) -> list[Order]:
        """The possible versions from `floor` on that were sent by `until_us`."""
        return [o for o in self.possible if o.revision >= floor and o.sent_us <= until_us]

    def allowing(self, *, host: str, target: str, service: str, until_us: int) -> list[int]:
        """The possible versions, sent by then, that let a service run this request."""
        key = (host, target.partition("?")[0], service)
        if key not in self._allowed:
            self._allowed[key] = tuple(
                place
                for place, order in enumerate(self.possible)
                if order.allows(host=host, target=target, service=service)
            )
        found = (self.possible[place] for place in self._allowed[key])
        return [order.revision for order in found if order.sent_us <= until_us]

    def without_route(self, *, host: str, target: str, until_us: int) -> list[int]:
        """The possible versions that have no route for it; 0 stands for none at all."""
        key = (host, target.partition("?")[0])
        if key not in self._missing:
            self._missing[key] = tuple(
                place
                for place, order in enumerate(self.possible)
                if order.route_for(host=host, target=target) is None
            )
        found = (self.possible[place] for place in self._missing[key])
        return [0, *(order.revision for order in found if order.sent_us <= until_us)]


def is_own_answer(*, request: Request, arrivals: list[Arrival]) -> bool:
    """Did the system answer by itself, rather than pass on what a backend said?

    >>> is_own_answer(request=Request(attempt="a", status=404), arrivals=[])
    True
    """
    return not any(a.status == request.status for a in arrivals)
