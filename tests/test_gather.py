"""The shape of the gathering tree, its independence of the body, and invalid backend replies."""

from __future__ import annotations

import random
import unittest

from kelpstage.common.ports.interfaces import HttpReply
from kelpstage.edge.backend.reply import ValidatedPart, read_reply
from kelpstage.edge.gather.record_order import leaf_limit, merge, sort_and_truncate
from kelpstage.edge.gather.tree import Subtree, build_tree, last_fan_out, levels
from kelpstage.testbed.stand_ins.backend import INVALID_REPLIES, damaged_body
from kelpstage.testbed.stand_ins.records import Cut, best, part, sealed_reply


def gather_subtree(*, subtree: Subtree, cut: Cut, query: str, limit: int | None) -> list:
    """Return the records that a subtree sends to its parent."""
    runs = [
        sort_and_truncate(
            records=[(-s, d) for s, d in part(query=query, cut=cut, shard=shard)],
            limit=leaf_limit(limit=limit),
        )
        for shard in subtree.shards
    ]
    runs += [
        gather_subtree(subtree=child, cut=cut, query=query, limit=limit)
        for child in subtree.children
    ]
    merged = merge(runs=runs, limit=None)
    limit_per_leaf = leaf_limit(limit=limit)
    return (
        merged[:limit_per_leaf] if limit_per_leaf is not None and not subtree.children else merged
    )


class TreeTest(unittest.TestCase):
    def test_tree_shape_of_eight_shards(self) -> None:
        shards = tuple(f"s{n}" for n in range(8))
        tree = build_tree(root="r", shards=shards, helpers=[f"n{n}" for n in range(9)], fan_out=5)
        self.assertEqual(2, levels(shard_count=8, fan_out=5))
        self.assertEqual(1.6, last_fan_out(shard_count=8, fan_out=5))
        self.assertEqual(4, len(tree.children))
        self.assertEqual(
            [2, 2, 2, 1, 1], [len(tree.shards)] + [len(c.shards) for c in tree.children]
        )
        self.assertEqual(shards, tree.all_shards())

    def test_every_shard_is_in_any_tree_once(self) -> None:
        for count in (1, 2, 5, 6, 8, 25, 26, 60, 125, 126):
            for helpers in (0, 1, 3, 4, 30):
                for fan_out in (2, 3, 5):
                    shards = tuple(f"s{n}" for n in range(count))
                    tree = build_tree(
                        root="r",
                        shards=shards,
                        helpers=[f"n{n}" for n in range(helpers)],
                        fan_out=fan_out,
                    )
                    self.assertEqual(sorted(shards), sorted(tree.all_shards()))
                    self.assertLessEqual(tree.height(), levels(shard_count=count, fan_out=fan_out))

    def test_any_tree_shape_gives_the_reference_body(self) -> None:
        rand = random.Random(5)
        for _ in range(60):
            cut = Cut(name="c", shards=tuple(f"s{n}" for n in range(rand.choice((1, 3, 8, 14)))))
            limit = rand.choice((None, 1, 5, 40, 400))
            query = f"name-{rand.randrange(30):02d}"
            shards = list(cut.shards)
            rand.shuffle(shards)
            tree = build_tree(
                root="r",
                shards=tuple(shards),
                helpers=[f"n{n}" for n in range(rand.randrange(7))],
                fan_out=rand.choice((2, 3, 5)),
            )
            got = merge(
                runs=[gather_subtree(subtree=tree, cut=cut, query=query, limit=limit)], limit=limit
            )
            self.assertEqual(
                best(query=query, cut=cut, shards=frozenset(shards), limit=limit),
                b",".join(data for _, data in got),
            )


class ReplyTest(unittest.TestCase):
    CUT = Cut(name="c1", shards=("s1", "s2", "s3"))

    def read(self, body: bytes, **more: object) -> object:
        reply = HttpReply(
            status=more.pop("status", 200),
            headers={"content-type": "application/json", **more.pop("headers", {})},
            body=body,
        )
        return read_reply(backend="b", reply=reply, shard="s1", cut="c1", order_by="score")

    def test_valid_reply_is_kept_byte_for_byte(self) -> None:
        body = sealed_reply(query="name-04", cut=self.CUT, shard="s1")
        got = self.read(body)
        self.assertIsInstance(got, ValidatedPart)
        self.assertEqual(
            sorted((-s, d) for s, d in part(query="name-04", cut=self.CUT, shard="s1")),
            sorted(got.records),
        )

    def test_every_invalid_reply_is_rejected(self) -> None:
        body = sealed_reply(query="name-04", cut=self.CUT, shard="s1")
        for kind in INVALID_REPLIES:
            damaged = damaged_body(body=body, lie=kind, shard="s1")
            if damaged != body:
                with self.subTest(kind=kind):
                    self.assertNotIsInstance(self.read(damaged), ValidatedPart)
        self.assertEqual("status", self.read(body, status=500).part)
        self.assertEqual("type", self.read(body, headers={"content-type": "text/html"}).part)
        self.assertEqual("encoding", self.read(body, headers={"content-encoding": "gzip"}).part)
        self.assertEqual("length", self.read(body, headers={"content-length": "3"}).part)

    def test_truncated_or_altered_body_is_rejected(self) -> None:
        body = sealed_reply(query="name-04", cut=self.CUT, shard="s1")
        rand = random.Random(3)
        whole = self.read(body)
        for _ in range(300):
            place = rand.randrange(len(body))
            if rand.random() < 0.5:
                damaged = body[:place]
            else:
                damaged = (
                    body[:place]
                    + bytes([body[place] ^ (1 << rand.randrange(8))])
                    + body[place + 1 :]
                )
            got = self.read(damaged)
            if isinstance(got, ValidatedPart):  # the change was outside the records
                self.assertEqual(whole.records, got.records)
