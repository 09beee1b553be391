"""Tests that every member rejects an invalid configuration and changes nothing.

The rejection names the path of the fault. The bodies are malformed, truncated, oversized, deeply
nested, out of range or contain duplicate keys.
"""

from __future__ import annotations

import asyncio
import copy
import hashlib
import json
import random
import unittest
from collections import Counter
from typing import Any, Callable

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.core.web.operators import serve_operators
from kelpstage.testbed.platform_model.machines import load
from tests.test_cores import SimulatedCores, run_scenario

REPLACE = "/api/Config.Replace"
VALID = {
    "Revision": 7,
    "RouteTable": [
        {
            "Name": "r-all",
            "HostName": "a.example",
            "PathPrefix": "/all/",
            "Variant": "idempotent",
            "DeadlineMs": 800,
            "TargetMs": 84,
            "Rank": 2,
            "FanOut": ["s1", "s2"],
            "Tries": 2,
            "TopN": 5,
            "Quorum": 0.3,
        },
        {
            "Name": "r-one",
            "HostName": "b.example",
            "PathPrefix": "/one/",
            "Variant": "idempotent",
            "DeadlineMs": 3000,
            "TargetMs": 396,
            "Rank": 0,
            "Weighted": [{"Service": "s1", "Share": 1}, {"Service": "s3", "Share": 2}],
            "Tries": 2,
        },
    ],
    "ServiceTable": [
        {"Name": name, "HealthPath": "/health", "MaxConns": 88, "Protocol": "h1", "TlsMode": False}
        for name in ("s1", "s2", "s3")
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 262144,
        "HeaderReadMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


def order(change: Callable[[dict], Any] | None = None, *, revision: int = 7) -> bytes:
    """Returns the body of the valid configuration after `change`."""
    raw = copy.deepcopy(VALID)
    raw["Revision"] = revision
    if change is not None:
        change(raw)
    return json.dumps(raw).encode()


def with_number(text: str, *, key: str = "DeadlineMs") -> bytes:
    """Returns the valid configuration with `text` as the number of the first `key`."""
    place = '"' + key + '": '
    head, _, tail = order().decode().partition(place)
    digits = len(tail) - len(tail.lstrip("0123456789."))
    return (head + place + text + tail[digits:]).encode()


def with_duplicate_key(key: str) -> bytes:
    text = order().decode()
    place = '"' + key + '": '
    return text.replace(place, place + "1, " + place, 1).encode()


NESTED = b"[" * 200_000 + b"]" * 200_000
ROUTE, OTHER = "RouteTable.0", "RouteTable.1"
INVALID: dict[str, tuple[str, bytes]] = {  # case: the path that the rejection names, the body
    "empty": ("", b""),
    "not a table": ("", b"7"),
    "a truncated body": ("", order()[:-30]),
    "truncated within a character": (
        "",
        order(lambda r: r.update(x="é")).replace(b"\\u00e9", "é".encode()[:1]),
    ),
    "not UTF-8": ("", order().replace(b"a.example", b"a.ex\xffmple")),
    "UTF-16": ("", order().decode().encode("utf-16")),
    "trailing data": ("", order() + b"{}"),
    "deeply nested": ("", NESTED),
    "oversized": ("", order() + b" " * (5 << 20)),
    "oversized after translation": ("", order(lambda r: r.update(Note="x" * 4_193_500))),
    "a duplicate key": ("Revision", with_duplicate_key("Revision")),
    "a duplicate nested key": ("DeadlineMs", with_duplicate_key("DeadlineMs")),
    "NaN": ("NaN", with_number("NaN")),
    "infinite": ("Infinity", with_number("-Infinity")),
    "above any float": ("out of range", with_number("1e999")),
    "a time above any float": ("RouteTable.0.DeadlineMs", with_number("9" * 400)),
    "a time of 1e308": ("RouteTable.0.DeadlineMs", with_number("1e308")),
    "more digits than Python reads": ("", with_number("9" * 5_000)),
    "a limit of 1e308": ("Limits.HeaderReadMs", with_number("1e308", key="HeaderReadMs")),
    "a limit above any float": ("Limits.HeaderReadMs", with_number("9" * 400, key="HeaderReadMs")),
    "a limit that is text": (
        "Limits.MaxBodyBytes",
        order(lambda r: r["Limits"].update(MaxBodyBytes="1")),
    ),
    "a limit missing": ("Limits.IdleTimeoutMs", order(lambda r: r["Limits"].pop("IdleTimeoutMs"))),
    "limits that are a list": ("Limits", order(lambda r: r.update(Limits=[1]))),
    "a negative limit": ("header_us", order(lambda r: r["Limits"].update(HeaderReadMs=-1))),
    "revision 0": ("Revision", order(revision=0)),
    "a negative revision": ("Revision", order(revision=-7)),
    "a fractional revision": ("Revision", order(revision=7.5)),
    "a revision that is text": ("Revision", order(revision="7")),
    "a revision that is true": ("Revision", order(revision=True)),
    "a huge revision": ("Revision", order(revision=2**63)),
    "no revision": ("Revision", order(lambda r: r.pop("Revision"))),
    "routes that are a table": ("RouteTable", order(lambda r: r.update(RouteTable={}))),
    "no routes": ("RouteTable", order(lambda r: r.pop("RouteTable"))),
    "no services": ("ServiceTable", order(lambda r: r.pop("ServiceTable"))),
    "a route that is not a table": ("RouteTable.2", order(lambda r: r["RouteTable"].append(7))),
    "a route of lists": ("RouteTable.2", order(lambda r: r["RouteTable"].append([["Name", 1]]))),
    "a route without a name": (f"{ROUTE}.Name", order(lambda r: r["RouteTable"][0].pop("Name"))),
    "a name that is not text": (
        f"{ROUTE}.Name",
        order(lambda r: r["RouteTable"][0].update(Name=["x"])),
    ),
    "a name beyond Unicode": (
        "RouteTable.0",
        order(lambda r: r["RouteTable"][0].update(Name="\ud800")),
    ),
    "a host beyond Unicode": ("", order(lambda r: r["RouteTable"][0].update(HostName="\ud800"))),
    "two routes with one name": (
        f"{OTHER}.Name",
        order(lambda r: r["RouteTable"][1].update(Name="r-all")),
    ),
    "a deeply nested route": (
        "",
        order(lambda r: r["RouteTable"][0].update(FanOut=7)).replace(
            b'"FanOut": 7', b'"FanOut": ' + b"[" * 900 + b"]" * 900
        ),
    ),
    "tries that are text": (
        f"{ROUTE}.Tries",
        order(lambda r: r["RouteTable"][0].update(Tries="2")),
    ),
    "negative tries": (f"{ROUTE}.Tries", order(lambda r: r["RouteTable"][0].update(Tries=-2))),
    "a fractional number of tries": (
        f"{ROUTE}.Tries",
        order(lambda r: r["RouteTable"][0].update(Tries=1.5)),
    ),
    "a negative rank": (f"{ROUTE}.Rank", order(lambda r: r["RouteTable"][0].update(Rank=-1))),
    "a rank that is text": (
        f"{ROUTE}.Rank",
        order(lambda r: r["RouteTable"][0].update(Rank="high")),
    ),
    "a huge rank": ("RouteTable.0.Rank", order(lambda r: r["RouteTable"][0].update(Rank=10**30))),
    "a huge count of records": (
        f"{ROUTE}.TopN",
        order(lambda r: r["RouteTable"][0].update(TopN=10**30)),
    ),
    "a quorum of 2": ("quorum", order(lambda r: r["RouteTable"][0].update(Quorum=2))),
    "a variant that is a list": (
        f"{ROUTE}.Variant",
        order(lambda r: r["RouteTable"][0].update(Variant=["idempotent"])),
    ),
    "a negative share": (
        f"{OTHER}.Weighted.0.Share",
        order(lambda r: r["RouteTable"][1]["Weighted"][0].update(Share=-1)),
    ),
    "a negative share offset by another": (
        f"{OTHER}.Weighted.2.Share",
        order(lambda r: r["RouteTable"][1]["Weighted"].append({"Service": "s3", "Share": -1})),
    ),
    "a share that is text": (
        f"{OTHER}.Weighted.0.Share",
        order(lambda r: r["RouteTable"][1]["Weighted"][0].update(Share="1")),
    ),
    "a share that is true": (
        f"{OTHER}.Weighted.0.Share",
        order(lambda r: r["RouteTable"][1]["Weighted"][0].update(Share=True)),
    ),
    "shares that are a table": (
        f"{OTHER}.Weighted",
        order(lambda r: r["RouteTable"][1].update(Weighted={"s1": 1})),
    ),
    "a negative count of connections": (
        "ServiceTable.0.MaxConns",
        order(lambda r: r["ServiceTable"][0].update(MaxConns=-1)),
    ),
    "a huge count of connections": (
        "ServiceTable.0.MaxConns",
        order(lambda r: r["ServiceTable"][0].update(MaxConns=10**30)),
    ),
    "a health path that is a number": (
        "health_path",
        order(lambda r: r["ServiceTable"][0].update(HealthPath=7)),
    ),
    # The kinds of the platform's test bench, except those that need the current version.
    "cut_short": ("", order()[: len(order()) // 2]),
    "unknown_service": (
        "fan_out.1",
        order(lambda r: r["RouteTable"][0].update(FanOut=["s1", "s9"])),
    ),
    "unknown_service by share": (
        "nobody",
        order(lambda r: r["RouteTable"][1]["Weighted"][0].update(Service="nobody")),
    ),
    "same_place": (
        "prefix",
        order(lambda r: r["RouteTable"].append({**r["RouteTable"][0], "Name": "r-again"})),
    ),
    "no_weight": (
        "weights",
        order(lambda r: [one.update(Share=0) for one in r["RouteTable"][1]["Weighted"]]),
    ),
    "no_timeout": ("deadline_us", order(lambda r: r["RouteTable"][0].update(DeadlineMs=0))),
    "shared_key": ("PathPrefix", with_duplicate_key("PathPrefix")),
    "shared_key of two services": (
        "ServiceTable.1.Name",
        order(lambda r: r["ServiceTable"][1].update(Name="s1")),
    ),
}
INVALID_BASES = ("-1", "1.0", "x", "0x1", "9" * 25, "1 2", "\u0663", "NaN")


class Site(SimulatedCores):
    """Cores that serve the platform's operator interface."""

    serve = staticmethod(load(name="operator_calls").operator_calls(own=serve_operators))

    async def replace(
        self, name: str, body: bytes, *, base: str, wait_us: int = 2_000_000
    ) -> HttpReply | KelpstageError:
        return await self.outside.ports.net.fetch(
            call=HttpCall(
                method="POST",
                url=f"http://{self.address(name, 8100)}{REPLACE}",
                headers={"X-Base-Version": base},
                body=body,
                wait_us=wait_us,
            )
        )

    async def put_until_accepted(self, body: bytes, *, base: str) -> None:
        for turn in range(40):
            reply = await self.replace(self.up()[turn % len(self.up())], body, base=base)
            if isinstance(reply, HttpReply) and reply.status == 200:
                return
            await self.sleep(200_000)
        raise AssertionError(f"the configuration was never acknowledged: {reply}")

    def states(self) -> set[tuple[int, str, int]]:
        """Returns version, document digest and number of accepted puts of each running replica."""
        tasks = [self.daemons[name].task for name in self.up()]
        states = [task.machine.state for task in tasks if task is not None]
        return {
            (state.version, hashlib.sha256(state.document).hexdigest(), len(state.puts))
            for state in states
        }


def run_cores(scenario: Any) -> None:
    run_scenario(scenario, seed=3, count=3, tolerance=1, make=Site)


class RejectedConfigurations(unittest.TestCase):
    def assert_rejected(self, reply: HttpReply | KelpstageError, *, path: str, what: str) -> None:
        self.assertIsInstance(reply, HttpReply, what)
        self.assertIn(reply.status, (400, 413, 422), (what, reply.body[:200]))
        self.assertTrue(json.loads(reply.body), what)
        self.assertIn(path, reply.body.decode(), what)

    def test_every_member_rejects_with_the_path_and_changes_nothing(self) -> None:
        async def scenario(site: Site) -> None:
            await site.start(is_first=True)
            await site.put_until_accepted(order(revision=5), base="0")
            await site.sleep(500_000)
            before = site.states()
            self.assertEqual(1, len(before))
            for what, (path, body) in INVALID.items():
                for name in site.names:
                    with self.subTest(what=what, member=name):
                        reply = await site.replace(name, body, base="5")
                        self.assert_rejected(reply, path=path, what=what)
            for base in INVALID_BASES:
                for name in site.names:
                    reply = await site.replace(name, order(), base=base)
                    self.assert_rejected(reply, path="", what=f"base {base}")
            self.assertEqual(before, site.states())
            await site.put_until_accepted(order(), base="5")

        run_cores(scenario)

    def test_rejected_while_no_leader_is_known(self) -> None:
        async def scenario(site: Site) -> None:
            await site.start(is_first=True)
            await site.put_until_accepted(order(revision=5), base="0")
            left = next(name for name in site.names if name != site.leader())
            site.kill(*(name for name in site.names if name != left))
            await site.wait_for(lambda: not site.daemons[left].task.leader_address)
            before = site.states()
            for what, (path, body) in INVALID.items():
                with self.subTest(what=what):
                    self.assert_rejected(
                        await site.replace(left, body, base="5"), path=path, what=what
                    )
            for base in INVALID_BASES:
                self.assert_rejected(
                    await site.replace(left, order(), base=base), path="", what=base
                )
            low = await site.replace(left, order(revision=5), base="5")
            self.assert_rejected(low, path="", what="same_version on its own base")
            good = await site.replace(left, order(), base="5")
            self.assertEqual(
                503, good.status, "a valid configuration is not rejected while no leader is known"
            )
            self.assertEqual(before, site.states())

        run_cores(scenario)

    def test_rejected_while_the_leader_does_not_respond(self) -> None:
        async def scenario(site: Site) -> None:
            await site.start(is_first=True)
            await site.put_until_accepted(order(revision=5), base="0")
            leader = site.leader()
            other = next(name for name in site.names if name != leader)
            for what in ("cut_short", "unknown_service", "no_weight", "no_timeout", "same_place"):
                site.processes[leader].freeze()
                self.assertEqual(
                    site.address(leader), site.daemons[other].task.leader_address, what
                )
                path, body = INVALID[what]
                reply = await site.replace(other, body, base="5")
                self.assert_rejected(reply, path=path, what=what)
                site.processes[leader].thaw()
                await site.sleep(3_000_000)
                leader = await self.agreed_leader(site)
                other = next(name for name in site.names if name != leader)

        run_cores(scenario)

    async def agreed_leader(self, site: Site) -> str:
        def is_agreed() -> bool:
            known = {site.daemons[name].task.leader_address for name in site.names}
            return len(known) == 1 and known != {""}

        await site.wait_for(is_agreed)
        return next(n for n in site.names if site.daemons[n].task.is_leader)

    def test_versions_that_conflict_with_the_current_one(self) -> None:
        """old_version, same_version and stale_match at each member, on current and other bases."""

        async def scenario(site: Site) -> None:
            await site.start(is_first=True)
            await site.put_until_accepted(order(revision=3), base="0")
            await site.put_until_accepted(order(revision=5), base="3")
            cases = [
                ("old_version", order(revision=4), "5", {400}),
                ("same_version", order(revision=5), "5", {400}),
                ("same_version as accepted, another base", order(revision=5), "4", {400, 412}),
                ("stale_match", order(revision=9), "3", {412}),
                ("stale_match", order(revision=9), "0", {412}),
                ("stale_match, old_version", order(revision=4), "3", {400, 412}),
                ("a future base", order(revision=9), "7", {412}),
            ]
            before = [self.current_configuration(site)]
            for what, body, base, statuses in cases:
                for name in site.names:
                    reply = await site.replace(name, body, base=base)
                    self.assertIn(reply.status, statuses, (what, reply.body))
            self.assertEqual(before, [self.current_configuration(site)])
            await site.put_until_accepted(order(revision=7), base="5")
            for name in site.names:  # still rejected although its base is current now
                reply = await site.replace(name, order(revision=9), base="7")
                self.assertEqual(412, reply.status)
            for revision, base in ((3, "0"), (5, "3"), (7, "5")):
                for name in site.names:
                    reply = await site.replace(name, order(revision=revision), base=base)
                    self.assertEqual(
                        200,
                        reply.status,
                        "an accepted and superseded configuration that is sent again",
                    )
            self.assertEqual(7, self.current_configuration(site)[0])

        run_cores(scenario)

    @staticmethod
    def current_configuration(site: Site) -> tuple[int, bytes]:
        state = site.daemons[site.leader()].task.machine.state
        return state.version, state.document


class FuzzedConfigurations(unittest.TestCase):
    """Random changes of bytes and values are rejected with 400, or accepted as valid (503 here)."""

    VALUES = (
        None,
        True,
        -1,
        0,
        1,
        2**31,
        2**53 + 1,
        2**64,
        10**40,
        0.5,
        -0.0,
        1e-320,
        1e308,
        "",
        " ",
        "x",
        "\x00",
        "\ud800",
        "/",
        "//",
        [],
        [[]],
        {},
        {"Name": "x"},
        ["s1"] * 3,
    )

    def setUp(self) -> None:
        self.calls: list[HttpCall] = []

        async def own(*, core: Any, call: HttpCall) -> HttpReply:
            self.calls.append(call)
            return await serve_operators(core=core, call=call)

        self.serve = load(name="operator_calls").operator_calls(own=own)
        self.core = NoLeaderCore()

    def status_of(self, body: bytes, *, base: str = "5") -> int:
        call = HttpCall(method="POST", url=REPLACE, headers={"x-base-version": base}, body=body)
        reply = asyncio.run(self.serve(core=self.core, call=call))
        json.loads(reply.body)
        return reply.status

    def test_random_value_changes(self) -> None:
        statuses: set[int] = set()
        for seed in range(600):
            rand = random.Random(f"values/{seed}")
            raw = copy.deepcopy(VALID)
            for _ in range(rand.randrange(1, 4)):
                self.change(rand, raw)
            with self.subTest(seed=seed):
                status = self.status_of(json.dumps(raw).encode())
                self.assertIn(status, (400, 503), raw)
                statuses.add(status)
        self.assertEqual({400, 503}, statuses)

    def change(self, rand: random.Random, raw: dict) -> None:
        """Replace, delete or duplicate one value at a random place."""
        place: Any = raw
        while True:
            keys = list(place) if isinstance(place, dict) else list(range(len(place)))
            if not keys:
                return
            key = rand.choice(keys)
            inner = place[key]
            if not isinstance(inner, (dict, list)) or not inner or rand.random() < 0.2:
                break
            place = inner
        way = rand.random()
        if way < 0.2:
            del place[key]
        elif way < 0.3 and isinstance(place, list):
            place.append(inner)
        else:
            place[key] = rand.choice(self.VALUES)

    def test_random_byte_changes(self) -> None:
        good = order()
        for seed in range(600):
            rand = random.Random(f"bytes/{seed}")
            body = bytearray(good)
            for _ in range(rand.randrange(1, 6)):
                start = rand.randrange(len(body))
                end = min(len(body), start + rand.randrange(0, 40))
                filling = bytes(rand.randrange(256) for _ in range(rand.randrange(0, 8)))
                body[start:end] = rand.choice((filling, b'{"', b"[[", b'"', b"}", b"-", b"9" * 400))
            with self.subTest(seed=seed):
                self.assertIn(self.status_of(bytes(body)), (400, 503), bytes(body))

    def test_every_truncation_of_a_valid_body(self) -> None:
        good = order()
        for length in range(0, len(good) - 1, 7):
            self.assertEqual(400, self.status_of(good[:length]))
        self.assertEqual(503, self.status_of(good), "a valid configuration, but no leader")

    def test_nesting_depths(self) -> None:
        for depth in (*range(1, 40, 7), *range(300, 1_100, 9), 5_000, 100_000):
            for place in ("FanOut", "Quorum", "HostName"):
                nest = b"[" * depth + b"]" * depth
                raw = json.loads(order())
                raw["RouteTable"][0][place] = "HERE"
                body = json.dumps(raw).encode().replace(b'"HERE"', nest)
                with self.subTest(depth=depth, place=place):
                    self.assertEqual(400, self.status_of(body))

    def test_invalid_bases(self) -> None:
        for base in INVALID_BASES:
            self.assertEqual(400, self.status_of(order(), base=base), base)

    def test_the_products_own_interface(self) -> None:
        """The product's own interface, without the platform's translation before it."""
        for seed in range(400):
            rand = random.Random(f"own/{seed}")
            document, _ = load(name="configuration").to_document(body=order())
            body = bytearray(document)
            for _ in range(rand.randrange(1, 4)):
                start = rand.randrange(len(body))
                body[start : start + rand.randrange(0, 30)] = rand.choice(
                    (b"", b"[[", b'"', b"9" * 400, b"1e999", b"\xff", b'{"a":')
                )
            headers = {
                "if-match": rand.choice(("5", '"5"', "", "x", "-1", "9" * 30)),
                "kelp-version": rand.choice(("", "7", "x", "9" * 30, "0")),
                "kelp-put-id": rand.choice(("p", "", "a/b", "x" * 65, "\u00e9")),
                "kelp-time-left-us": rand.choice(("1000", "x", "-1", "0", "9" * 30)),
            }
            call = HttpCall(
                method="PUT", url="/v1/configuration", headers=headers, body=bytes(body)
            )
            reply = asyncio.run(serve_operators(core=self.core, call=call))
            self.assertIn(reply.status, (400, 409, 413, 422, 428, 503), (seed, headers))


class NoLeaderCore:
    """The part of a core that handles an operator's call before the core is ready."""

    task = None
    lease_service = None
    rollout_service = None
    waits_for = "the disk"

    def __init__(self) -> None:
        self.operator_calls: Counter[str] = Counter()

    class ports:
        class clock:
            @staticmethod
            def now_us() -> int:
                return 0


if __name__ == "__main__":
    unittest.main()
