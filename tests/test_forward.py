"""Forwarded requests: headers, reply validation, zone trees, record order, status codes."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

from kelpstage.common.errors.backends import (
    BackendConnectionError,
    BackendFailedError,
    InvalidReplyError,
    RequestNotRunError,
)
from kelpstage.common.errors.requests import UnknownRouteError
from kelpstage.common.errors.serving import DeadlineExceededError, NoBackendError, QuorumNotMetError
from kelpstage.common.errors.transport import ConnectError, ConnectionLostError, ReplyTimeoutError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply, Owner
from kelpstage.edge.forward.headers import HeaderNames
from kelpstage.edge.forward.request import read_request
from kelpstage.edge.forward.sealed_answer import SealedCodec
from kelpstage.edge.gather.record_order import ByteOrder, leaf_limit
from kelpstage.edge.gather.stages.merge import surely_not_run
from kelpstage.edge.gather.tree import Subtree, build_zone_tree
from kelpstage.edge.retries.load_shedding import MAX_IN_FLIGHT, is_admitted
from kelpstage.edge.web.forward import failure_reply

NAMES = HeaderNames()


def reply(*, status: int = 200, request: str = "r-1", seal: str = "a.1", **fields) -> HttpReply:
    headers = {"kelp-request-id": request, "kelp-seal": seal, **fields.pop("headers", {})}
    return HttpReply(status=status, headers=headers, **fields)


class ForwardedRequestTest(unittest.TestCase):
    def test_end_to_end_headers_keep_their_order_and_case(self):
        call = HttpCall(
            method="GET",
            url="/a/b%2f?x=1&x=2",
            headers={"host": "h", "kelp-request-id": "r-1"},
            raw_headers=(
                ("Host", "h"),
                ("X-Odd", "1"),
                ("Connection", "keep-alive, X-Hop"),
                ("X-Hop", "2"),
                ("Kelp-Request-Id", "r-1"),
                ("Kelp-Deadline-Ms", "50"),
                ("Content-Length", "3"),
                ("X-odd", "3"),
            ),
            body=b"abc",
        )
        request = read_request(call=call, names=NAMES)
        self.assertEqual(
            request.headers,
            (("Host", "h"), ("X-Odd", "1"), ("Kelp-Request-Id", "r-1"), ("X-odd", "3")),
        )
        self.assertEqual(
            (request.target, request.body, request.host), ("/a/b%2f?x=1&x=2", b"abc", "h")
        )


class ReplyValidationTest(unittest.TestCase):
    def setUp(self):
        self.codec = SealedCodec(names=NAMES)

    def part(self, given: HttpReply):
        return self.codec.read_part(reply=given, backend="i-1", shard="s", request_id="r-1")

    def test_invalid_replies_are_rejected(self):
        for given, kind in (
            (reply(request="r-2"), InvalidReplyError),
            (reply(request="r-2", status=421), InvalidReplyError),
            (reply(request="r-2", status=503, headers={"kelp-not-run": "1"}), InvalidReplyError),
            (HttpReply(status=503, headers={"kelp-not-run": "1"}), InvalidReplyError),
            (reply(headers={"kelp-not-run": "1"}), InvalidReplyError),
            (reply(seal=""), InvalidReplyError),
            (reply(seal="a,b"), InvalidReplyError),
            (reply(headers={"content-encoding": "gzip"}), InvalidReplyError),
            (reply(status=500), BackendFailedError),
            (reply(status=504), BackendFailedError),
            (reply(status=503, headers={"kelp-not-run": "1"}), RequestNotRunError),
            (reply(status=429, headers={"kelp-not-run": "1"}), RequestNotRunError),
            (reply(status=421), RequestNotRunError),
        ):
            with self.subTest(status=given.status, headers=given.headers):
                self.assertIsInstance(self.part(given), kind)

    def test_a_remainder_of_fewer_than_16_bytes_is_not_a_record(self):
        self.assertEqual(self.part(reply(body=b"x" * 47)).records, [b"x" * 16] * 2)

    def test_a_503_without_the_not_run_header_may_have_run(self):
        whole = self.codec.read_forwarded(reply=reply(status=503), backend="i-1", request_id="r-1")
        self.assertIsInstance(whole, BackendFailedError)
        self.assertFalse(surely_not_run(outcome=whole))

    def test_a_reply_is_matched_by_its_request_id(self):
        request = SimpleNamespace(method="GET", target="/", request_id="r-1", headers=(), body=b"")
        ask = SimpleNamespace(
            record=SimpleNamespace(request=request),
            address="127.0.0.1:1",
            backend="i-1",
            wait_us=9_000,
            connection_limit=2,
        )
        call = self.codec.call(ask=ask)
        self.assertEqual(Owner.OURS, call.reply_owner(reply()))
        self.assertEqual(Owner.UNNAMED, call.reply_owner(HttpReply(status=200)))
        self.assertEqual(Owner.OTHERS, call.reply_owner(reply(request="r-2")))
        self.assertEqual(call.headers["Kelp-Expect-Instance"], "i-1")
        self.assertEqual(call.headers["Kelp-Deadline-Ms"], "9")

    def test_repeated_headers_are_joined(self):
        request = SimpleNamespace(
            method="GET",
            target="/",
            request_id="r-1",
            headers=(("X-A", "1"), ("Cookie", "a=1"), ("X-A", "2"), ("Cookie", "b=2")),
            body=b"",
        )
        ask = SimpleNamespace(
            record=SimpleNamespace(request=request),
            address="127.0.0.1:1",
            backend="i-1",
            wait_us=9_000,
            connection_limit=2,
        )
        headers = {name.lower(): value for name, value in self.codec.call(ask=ask).headers.items()}
        self.assertEqual(("1, 2", "a=1; b=2"), (headers["x-a"], headers["cookie"]))

    def test_only_outcomes_without_a_run_allow_a_second_send(self):
        for outcome, is_sure in (
            (ConnectError(address="a"), True),
            (RequestNotRunError(backend="i", answer=503, why="full"), True),
            (ConnectionLostError(address="a", was_sent=False), True),
            (ConnectionLostError(address="a"), False),
            (ReplyTimeoutError(address="a", after_us=1), False),
            (InvalidReplyError(backend="i", part="seal", why="none"), False),
            (BackendFailedError(backend="i", answer=500), False),
        ):
            with self.subTest(outcome=outcome.kind):
                self.assertEqual(surely_not_run(outcome=outcome), is_sure)


class ZoneTreeTest(unittest.TestCase):
    def test_every_shard_occurs_once_and_children_are_bounded(self):
        rand = random.Random(3)
        for _ in range(300):
            zones = [f"z{n}" for n in range(rand.choice((1, 3, 6)))]
            shards = [f"s{n}" for n in range(rand.choice((1, 5, 8, 12, 30, 45)))]
            groups: dict[str, list[str]] = {}
            for shard in shards:
                groups.setdefault(rand.choice(zones), []).append(shard)
            helpers = {zone: [f"{zone}-{n}" for n in range(rand.randrange(16))] for zone in zones}
            tree = build_zone_tree(
                root="r",
                zone="z0",
                groups=[(z, tuple(s)) for z, s in groups.items()],
                helpers=helpers,
                fan_out=5,
            )
            self.assertEqual(sorted(shards), sorted(tree.all_shards()))
            self.assertLessEqual(max(len(b.children) for b in walk(tree)), 8)

    def test_shards_of_another_zone_are_gathered_in_that_zone(self):
        tree = build_zone_tree(
            root="r",
            zone="z0",
            fan_out=5,
            groups=[("z0", ("a", "b", "c")), ("z1", ("d", "e")), ("z2", ("f",))],
            helpers={"z0": ["n1", "n2"], "z1": ["m1"], "z2": []},
        )
        far = [child for child in tree.children if child.node == "m1"]
        self.assertEqual([child.all_shards() for child in far], [("d", "e")])
        near = {s for b in walk(tree) if b.node in ("r", "n1", "n2") for s in b.shards}
        self.assertEqual(near, {"a", "b", "c", "f"})


def walk(subtree: Subtree):
    yield subtree
    for child in subtree.children:
        yield from walk(child)


class ByteOrderTest(unittest.TestCase):
    def test_truncation_in_the_tree_never_changes_the_result(self):
        rand = random.Random(11)
        for _ in range(200):
            limit = rand.choice((1, 5, 10, 50))
            parts = [
                [bytes(rand.choices(range(4), k=16)) for _ in range(rand.randrange(150))]
                for _ in range(rand.choice((1, 3, 8)))
            ]
            runs = [
                ByteOrder.sort_and_truncate(records=p, limit=leaf_limit(limit=limit)) for p in parts
            ]
            split = rand.randrange(len(runs) + 1)
            far = ByteOrder.merge(runs=runs[:split], limit=limit)
            near = ByteOrder.merge(runs=runs[split:], limit=leaf_limit(limit=limit))
            carried = ByteOrder.unpack(data=ByteOrder.pack(records=far))
            got = ByteOrder.merge(runs=[carried, near], limit=limit)
            self.assertEqual(got, sorted((r for p in parts for r in p), reverse=True)[:limit])


class FailureStatusTest(unittest.TestCase):
    def status(self, failure, has_run=False):
        edge = SimpleNamespace(is_leaving=False, counts={f"refused_{failure.kind}": 0})
        given = failure_reply(failure=failure, has_run=has_run, edge=edge)
        return given.status, given.headers.get("Retry-After")

    def test_only_requests_that_have_not_run_get_503(self):
        failure = NoBackendError(shard="s", why="none")
        self.assertEqual(self.status(failure)[0], 503)
        self.assertIsNotNone(self.status(failure)[1])
        self.assertEqual(self.status(failure, has_run=True), (502, None))
        short = QuorumNotMetError(collection="c", configuration=1, shards_in=1, quorum=2)
        self.assertEqual(self.status(short, has_run=True), (502, None))
        self.assertEqual(self.status(UnknownRouteError(host="h", path="/"))[0], 404)

    def test_a_request_that_has_not_run_gets_503_for_any_failure(self):
        for failure in (
            BackendConnectionError(backend="b", cause="connection rejected"),
            DeadlineExceededError(where="at the backend"),
        ):
            status, retry_after = self.status(failure)
            self.assertEqual(503, status)
            self.assertIsNotNone(retry_after)
            self.assertIn(self.status(failure, has_run=True), ((502, None), (504, None)))


class LoadSheddingTest(unittest.TestCase):
    def test_the_lowest_rank_is_shed_first(self):
        limits = [
            next(n for n in range(MAX_IN_FLIGHT + 1) if not is_admitted(in_flight=n, rank=rank))
            for rank in (0, 1, 2, 3, 9)
        ]
        self.assertEqual(limits, sorted(limits, reverse=True))
        self.assertEqual(limits[0], MAX_IN_FLIGHT)
