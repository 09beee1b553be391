"""Tests of requirements of the platform's rules that no other test module covers alone.

`tests/rules_upheld.py` has the table of all of them.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from collections import Counter
from typing import Any

from kelpstage.common.configuration.types import Configuration
from kelpstage.common.http.server import HttpServer
from kelpstage.common.ports.interfaces import HttpCall, HttpLimits, HttpReply
from kelpstage.common.transport.messages import StateDoc
from kelpstage.edge.gather.stages import admit
from kelpstage.edge.lease.lease_holder import LeaseHolder
from kelpstage.testbed.fleet.deployment import load
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from tests.async_case import AsyncCase, FrozenLoopTime
from tests.test_at_most_once import EdgeCase, RawBackend, answer
from tests.test_http import RawClient, free_address, get, wait_until


class WithoutConfiguration(EdgeCase):
    """An edge without a configuration rejects requests with 503 and a Retry-After header."""

    async def test_it_answers_503_and_when_to_come_back(self) -> None:
        self.context.lease_holder.configuration = Configuration(version=0, document=b"")
        for name in ("a", "b"):
            status, headers, _ = await self.ask(name)
            self.assertEqual((503, True), (status, "retry-after" in headers))


class AttemptHeaders(EdgeCase):
    """The instance and deadline that are sent to a backend, and the deadline of the reply."""

    is_repeatable = True
    deadline_us = 700_000

    async def attempt_headers(self, *, deadline_ms: int, wait_ms: int = 0) -> list[dict[str, str]]:
        """Send one request and return the headers of each attempt that backends received.

        With `wait_ms`, the first attempt's connection is closed after that time.
        """
        attempts: list[dict[str, str]] = []
        time = FrozenLoopTime()

        async def script(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            await reader.readexactly(2)
            rows = (line.partition(": ") for line in head.split("\r\n")[1:] if line)
            attempts.append({name.lower(): value for name, _, value in rows})
            if len(attempts) == 1 and wait_ms:
                time.advance(ms=wait_ms)
                writer.close()
                return
            writer.write(answer(attempts[-1]["kelp-request-id"]))
            await reader.read()

        await self.start(script, script)
        status, _, _ = await self.ask("r", deadline_ms=deadline_ms)
        self.assertEqual(200, status)
        return attempts

    async def test_the_instance_is_named(self) -> None:
        [headers] = await self.attempt_headers(deadline_ms=500)
        self.assertEqual(self.backends[0].name, headers["kelp-expect-instance"])

    async def test_no_more_time_than_is_left(self) -> None:
        [headers] = await self.attempt_headers(deadline_ms=500)
        self.assertLessEqual(int(headers["kelp-deadline-ms"]), 500)
        await self.stop_backends()
        first, retry = await self.attempt_headers(deadline_ms=500, wait_ms=200)
        self.assertLessEqual(int(retry["kelp-deadline-ms"]), 300)

    async def test_the_routes_deadline_ends_it(self) -> None:
        """A client's deadline is later than the route's: the reply comes at the route's."""

        async def silent(backend: RawBackend, number: int, reader: Any, writer: Any) -> None:
            await backend.request(reader)
            await reader.read()

        first, _ = await self.start(silent, silent)
        time = FrozenLoopTime()
        asking = asyncio.create_task(self.ask("r", deadline_ms=3_000))
        self.addAsyncCleanup(self.drop, asking)
        await wait_until(lambda: bool(first.arrivals))
        time.advance(ms=self.deadline_us // 1_000)
        for _ in range(2_000):
            await asyncio.sleep(0)
        self.assertTrue(asking.done(), "no reply at the route's deadline")
        self.assertEqual(504, (await asking)[0])

    async def drop(self, asking: asyncio.Task[Any]) -> None:
        """Cancel the request, in case it was not answered."""
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)


class EpochOrder(unittest.TestCase):
    """A state is installed only if its epoch is higher than that of the installed one."""

    def test_an_older_state_is_not_installed(self) -> None:
        holder = LeaseHolder(me="a")
        for epoch, version, is_installed in (
            (4, 3, True),
            (4, 9, False),
            (3, 9, False),
            (5, 3, True),
        ):
            doc = StateDoc(cluster="k", epoch=epoch, version=version, membership=["a"])
            configuration = Configuration(version=version, document=b"")
            found = holder.install(doc=doc, configuration=configuration, now_us=0)
            self.assertEqual(is_installed, found, (epoch, version))
        self.assertEqual((5, 3), (holder.epoch, holder.configuration.version))


class WeightedRoute(unittest.TestCase):
    """Requests of a weighted route are split by the weights; a weight of 0 gets none."""

    def test_each_part_gets_its_share(self) -> None:
        weights = (("a", 1.0), ("b", 3.0), ("c", 0.0))
        count = 4_000
        drawn = Counter(admit.draw(weights=weights, lot=n / count) for n in range(count))
        self.assertEqual({"a": count // 4, "b": 3 * count // 4}, dict(drawn))


class KeptConnections(AsyncCase):
    async def test_a_request_in_work_is_answered(self) -> None:
        """A server that closes answers a request that it has read on a reused connection."""
        gate = asyncio.Event()
        began: list[str] = []

        async def on_call(call: HttpCall) -> HttpReply:
            began.append(call.url)
            if call.url == "/second":
                await gate.wait()
            return HttpReply(status=200, body=call.url.encode())

        server = HttpServer(on_call=on_call, limits=HttpLimits, cancels_on_disconnect=True)
        address = free_address()
        self.assertIsNone(await server.open(address=address))
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        raw = RawClient(reader=reader, writer=writer)
        self.addAsyncCleanup(self.end, raw, server)
        raw.send(get("/first"))
        self.assertEqual(200, (await raw.reply())[0])
        raw.send(get("/second"))
        await wait_until(lambda: began == ["/first", "/second"])
        server.close()
        for _ in range(20):
            await asyncio.sleep(0)
        gate.set()
        status, headers, body = await raw.reply()
        self.assertEqual((200, "close", b"/second"), (status, headers["connection"], body))

    async def end(self, raw: RawClient, server: HttpServer) -> None:
        raw.close()
        server.abort()
        await wait_until(lambda: not server.open_connections())


class GracefulStop(unittest.TestCase):
    """An edge that shuts down is not ready, but answers the requests in flight."""

    def test_it_is_not_ready_and_serves_what_it_has(self) -> None:
        seen: dict[str, Any] = {}

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            name = fleet.deployment.nodes[-1].name
            address = fleet.edge_http[name]
            for backend in fleet.deployment.backends:
                await fleet.set_backend(name=backend.name, slow_us=300_000)
            searching = asyncio.ensure_future(self.search(fleet, address=address))
            await fleet.sleep(us=50_000)
            stopping = asyncio.ensure_future(fleet.stop_edge(name=name))
            await fleet.sleep(us=50_000)
            seen["ready"] = await self.fetch(fleet, address=address, path="/ready")
            seen["search"] = await searching
            await stopping

        run_sim(seed=6, deployment=load(name="tiny"), scenario=scenario)
        self.assertEqual(503, seen["ready"].status)
        self.assertEqual("leaving", json.loads(seen["ready"].body)["defect"]["why"])
        self.assertEqual(200, seen["search"].status)

    async def fetch(self, fleet: SimFleet, *, address: str, path: str) -> Any:
        call = HttpCall(method="GET", url=f"http://{address}{path}", wait_us=2_000_000)
        return await fleet.outside.ports.net.fetch(call=call)

    async def search(self, fleet: SimFleet, *, address: str) -> Any:
        return await fleet.outside.ports.net.fetch(
            call=HttpCall(
                method="POST",
                url=f"http://{address}/v1/collections/tiny/search",
                headers={"Kelp-Time-Left-Us": "2000000"},
                body=b'{"q":"name-01","call":"x"}',
                wait_us=3_000_000,
            )
        )


if __name__ == "__main__":
    unittest.main()
