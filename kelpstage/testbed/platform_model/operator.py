"""The operator: writes configurations, retries writes without a clear answer, reads back."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.testbed.checkers.linearizable import Answer, Attempt
from kelpstage.testbed.platform_model.history import History, Order, ReadBack, RouteSpec
from kelpstage.testbed.platform_model.net import HttpProcess, PlatformWorld

CONFLICT_STATUSES = frozenset((409, 412))
REJECTED_STATUSES = frozenset((400, 413, 422)) | CONFLICT_STATUSES
RETRYABLE_STATUSES = frozenset((408, 429))
NO_CONFIGURATION_STATUS = 404  # the status of a read before the first configuration
OTHER_REJECTIONS_LIMIT = 3  # other 4xx replies until an order counts as rejected
CALL_TIMEOUT_US = 1_000_000
MIN_BACKOFF_US, MAX_BACKOFF_US = 100_000, 1_500_000
MAX_REDIRECTS = 2


class Operator:
    """One operator; `addresses` returns the control addresses that it sees at present."""

    def __init__(
        self,
        *,
        world: PlatformWorld,
        process: HttpProcess,
        history: History,
        rand: random.Random,
        addresses: Callable[[], list[str]],
    ) -> None:
        self._world = world
        self._process = process
        self._history = history
        self._rand = rand
        self._addresses = addresses
        self.lose_share = 0.0
        self.revision = 0  # the newest revision that this operator knows to be in force
        self.body = b""  # of the newest configuration that it read
        self.on_acked: Callable[[Order, str], None] = lambda order, address: None

    def draft_order(
        self,
        *,
        body: bytes,
        revision: int,
        base: int,
        routes: tuple[RouteSpec, ...],
        is_valid: bool = True,
    ) -> Order:
        """A configuration write, with a key from its position in the history.

        `base` is the revision that it replaces; `is_valid` is false for a document that
        the product must reject.
        """
        return Order(
            key=f"o{len(self._history.orders)}-{revision}",
            revision=revision,
            base=base,
            body=body,
            routes=routes,
            is_valid=is_valid,
        )

    async def send(self, *, order: Order, give_up_us: int = 40_000_000) -> Order:
        """Send an order until it has a clear answer or `give_up_us` is over; 0 never gives up."""
        order.sent_us = self._world.now_us()
        self._history.orders.append(order)
        backoff_us, other_rejections = MIN_BACKOFF_US, 0
        while not give_up_us or self._world.now_us() < order.sent_us + give_up_us:
            status = await self.send_once(order=order)
            if status == 200:
                return order
            other_rejections += 400 <= status < 500 and status not in RETRYABLE_STATUSES
            if status in REJECTED_STATUSES or other_rejections >= OTHER_REJECTIONS_LIMIT:
                order.refused_us = order.ended_us = self._world.now_us()
                return order
            await self._process.ports.clock.sleep(us=backoff_us)
            backoff_us = min(MAX_BACKOFF_US, backoff_us * 2)
        order.ended_us = self._world.now_us()
        return order

    async def send_once(self, *, order: Order) -> int:
        """Send an order once to a random address; the status of the reply, 0 if there is none."""
        sent_us = self._world.now_us()
        address = self._rand.choice(self._addresses())
        reply = await self._call(
            address=address,
            method="POST",
            path="/api/Config.Replace",
            body=order.body,
            base=order.base,
        )
        status = reply.status if isinstance(reply, HttpReply) else 0
        if status and self._rand.random() < self.lose_share:
            status = 0  # the reply is lost
            order.lost_us.append(self._world.now_us())
        now_us = self._world.now_us()
        answer = _classify_status(status=status)
        order.tries.append(Attempt(sent_us=sent_us, done_us=now_us, answer=answer))
        if status == 200:
            order.acked_us = order.acked_us or now_us
            order.ended_us = order.ended_us or now_us
            self.revision = max(self.revision, order.revision)
            self.on_acked(order, address)
        return status

    async def call_any(
        self, *, method: str, path: str, body: bytes = b""
    ) -> HttpReply | KelpstageError | None:
        """Make one call to a random control address."""
        address = self._rand.choice(self._addresses())
        return await self._call(address=address, method=method, path=path, body=body)

    async def _call(
        self, *, address: str, method: str, path: str, body: bytes = b"", base: int | None = None
    ) -> HttpReply | KelpstageError | None:
        wait_us = CALL_TIMEOUT_US + len(body) * 4
        headers = {"X-Base-Version": str(base)} if base is not None else {}
        headers["Content-Type"] = "application/json"
        url = f"http://{address}{path}"
        for _ in range(1 + MAX_REDIRECTS):
            reply = await self._process.ports.net.fetch(
                call=HttpCall(method=method, url=url, headers=headers, body=body, wait_us=wait_us)
            )
            if not isinstance(reply, HttpReply) or reply.status != 307:
                return reply
            url = reply.headers.get("location", url)
        return reply

    async def read(self) -> tuple[int, bytes] | None:
        """Read the newest configuration from a random address; `None` if there is none."""
        sent_us = self._world.now_us()
        address = self._rand.choice(self._addresses())
        reply = await self._call(address=address, method="GET", path="/api/Config.Read")
        if not isinstance(reply, HttpReply) or reply.status not in (200, NO_CONFIGURATION_STATUS):
            return None
        revision, body = 0, b""
        if reply.status == 200:
            revision, body = _stated_revision(body=reply.body), reply.body
        now_us = self._world.now_us()
        self._history.reads.append(
            ReadBack(at_us=now_us, sent_us=sent_us, revision=revision, body=body)
        )
        if reply.status == NO_CONFIGURATION_STATUS:
            return None
        self.body = body
        return revision, body

    async def catch_up(self) -> None:
        """Read the revision in force, with up to 20 attempts."""
        for _ in range(20):
            found = await self.read()
            if found is not None:
                self.revision = max(self.revision, found[0])
                return
            await asyncio.sleep(0.3)

    async def read_back(self, *, for_us: int, max_us: int = 30_000_000) -> None:
        """Read the configuration repeatedly for `for_us` and record the last answer as final.

        Without any answer it continues until `max_us`.
        """
        started_us = self._world.now_us()
        last: tuple[int, bytes] | None = None
        while True:
            found = await self.read()
            now_us = self._world.now_us()
            if found is not None:
                last = found
                self._history.read_backs.append(
                    ReadBack(at_us=now_us, revision=found[0], body=found[1])
                )
            if now_us - started_us >= (for_us if last is not None else max_us):
                break
            await asyncio.sleep(0.3)
        if last is not None:
            self._history.read_backs.append(
                ReadBack(at_us=self._world.now_us(), revision=last[0], body=last[1], is_last=True)
            )


def _classify_status(*, status: int) -> Answer:
    if status == 200:
        return Answer.ACKNOWLEDGED
    if status in CONFLICT_STATUSES:
        return Answer.CONFLICT
    return Answer.INVALID if status in REJECTED_STATUSES else Answer.UNCLEAR


def _stated_revision(*, body: bytes) -> int:
    """The revision that a configuration states; 0 if the body is not a configuration.

    >>> _stated_revision(body=b'{"Revision": 7}'), _stated_revision(body=b"x")
    (7, 0)
    """
    try:
        return int(json.loads(body)["Revision"])
    except (ValueError, KeyError, TypeError):
        return 0
