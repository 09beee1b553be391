"""The checker of operators' histories: random histories of a true register pass, and each
planted anomaly is found in them."""

from __future__ import annotations

import random
import time
import unittest
from typing import Callable

from kelpstage.testbed.checkers.linearizable import Answer, Read, Try, Write, find_anomalies

ACKNOWLEDGED, CONFLICT, INVALID, UNCLEAR = Answer


class History:
    """Operators of a register that does as it should: each call takes effect at a random
    moment between its sending and its answer, late copies even after that."""

    def __init__(self, *, seed: int, changes: int, operators: int = 3) -> None:
        self.rand = random.Random(seed)
        self.writes: list[Write] = []
        self.reads: list[Read] = []
        self.states: list[tuple[int, int, str]] = [(0, 0, "")]  # since when, version, content
        self._effects: list[tuple[int, int, Callable[[int], None]]] = []
        self._serial = 0
        now_us = 0
        while len(self.states) <= changes:
            now_us += self.rand.randrange(1, 900_000)
            self._run(until_us=now_us)
            for _ in range(self.rand.randrange(1, operators + 1)):
                self._send(now_us=now_us)
            self._read(now_us=now_us)
        now_us += 60_000_000
        self._run(until_us=now_us)
        self._read(now_us=now_us)
        self._run(until_us=now_us + 9_000_000)
        self.end_us = now_us + 9_000_000

    def _at(self, us: int, verb: Callable[[int], None]) -> None:
        self._serial += 1
        self._effects.append((us, self._serial, verb))

    def _run(self, *, until_us: int) -> None:
        while self._effects:
            first = min(self._effects)
            if first[0] > until_us:
                return
            self._effects.remove(first)
            first[2](first[0])

    def _span(self, *, from_us: int) -> tuple[int, int]:
        effect_us = from_us + self.rand.randrange(1, 400_000)
        return effect_us, effect_us + self.rand.randrange(1, 400_000)

    def _send(self, *, now_us: int) -> None:
        base = self.states[-1][1]
        version = base + self.rand.randrange(1, 4)
        name = f"o{len(self.writes)}"
        write = Write(key=name, base=base, version=version, content=f"{version} {name}")
        self.writes.append(write)
        self._try(write=write, sent_us=now_us)

    def _try(self, *, write: Write, sent_us: int) -> None:
        effect_us, done_us = self._span(from_us=sent_us)
        is_lost = self.rand.random() < 0.5  # its answer
        if is_lost and self.rand.random() < 0.2:
            effect_us += self.rand.randrange(5_000_000)  # a copy that was under way for long

        def effect(at_us: int) -> None:
            answer = self._apply(write=write, at_us=at_us)
            if is_lost:
                return
            write.tries.append(Try(sent_us=sent_us, done_us=done_us, answer=answer))

        self._at(effect_us, effect)
        if is_lost:
            write.tries.append(Try(sent_us=sent_us, done_us=done_us, answer=UNCLEAR))
            if self.rand.random() < 0.7:
                again_us = done_us + self.rand.randrange(1, 500_000)
                self._at(again_us, lambda at_us: self._try(write=write, sent_us=at_us))

    def _apply(self, *, write: Write, at_us: int) -> Answer:
        if any(content == write.content for _, _, content in self.states):
            return ACKNOWLEDGED
        if self.states[-1][1] != write.base:
            return CONFLICT
        self.states.append((at_us, write.version, write.content))
        return ACKNOWLEDGED

    def _read(self, *, now_us: int) -> None:
        effect_us, done_us = self._span(from_us=now_us)

        def effect(_: int) -> None:
            _, version, content = self.states[-1]
            read = Read(sent_us=now_us, done_us=done_us, version=version, content=content)
            self.reads.append(read)

        self._at(effect_us, effect)

    def judge(self) -> list:
        return find_anomalies(writes=self.writes, reads=self.reads)

    # --- what plants look for --------------------------------------------------------------

    def acked(self) -> list[Write]:
        return [write for write in self.writes if write.of(ACKNOWLEDGED)]

    def refused(self) -> list[Write]:
        return [write for write in self.writes if write.of(CONFLICT)]

    def in_the_middle(self) -> Write:
        found = self.acked()
        return found[len(found) // 2]

    def later(self, us: int = 0) -> Try:
        return Try(sent_us=self.end_us + us, done_us=self.end_us + us + 9, answer=ACKNOWLEDGED)


PLANTS: list[Callable[[History], None]] = []


def plants(plant: Callable[[History], None]) -> Callable[[History], None]:
    PLANTS.append(plant)
    return plant


@plants
def a_stale_read(history: History) -> None:
    old = history.in_the_middle()
    at_us = history.end_us
    history.reads.append(
        Read(sent_us=at_us, done_us=at_us + 1, version=old.version, content=old.content)
    )


@plants
def a_read_that_goes_back(history: History) -> None:
    """Two reads in a row, the second older: no acknowledgement is needed to tell."""
    one, two = history.states[-2:]
    for place, (_, version, content) in enumerate((two, one)):
        at_us = history.end_us + 10 * place
        history.reads.append(
            Read(sent_us=at_us, done_us=at_us + 5, version=version, content=content)
        )


@plants
def a_read_of_what_nobody_sent(history: History) -> None:
    at_us = history.end_us
    version = history.states[-1][1]
    history.reads.append(Read(sent_us=at_us, done_us=at_us + 1, version=version, content="another"))


@plants
def an_empty_register_after_an_acknowledgement(history: History) -> None:
    history.reads.append(Read(sent_us=history.end_us, done_us=history.end_us + 1, version=0))


@plants
def a_read_before_it_was_sent(history: History) -> None:
    write = history.in_the_middle()
    at_us = write.sent_us - 2
    history.reads.append(
        Read(sent_us=at_us, done_us=at_us + 1, version=write.version, content=write.content)
    )


@plants
def two_winners_on_one_base(history: History) -> None:
    winner = history.in_the_middle()
    history.writes.append(
        Write(
            key="second winner",
            base=winner.base,
            version=winner.version + 1,
            content="second",
            tries=[Try(sent_us=winner.sent_us, done_us=winner.acked_us, answer=ACKNOWLEDGED)],
        )
    )


@plants
def two_under_one_number(history: History) -> None:
    winner = history.in_the_middle()
    history.writes.append(
        Write(
            key="the same number",
            base=winner.base,
            version=winner.version,
            content="second",
            tries=[Try(sent_us=winner.sent_us, done_us=winner.acked_us, answer=ACKNOWLEDGED)],
        )
    )


@plants
def a_lost_acknowledged_one(history: History) -> None:
    """The last acknowledged one is gone at the end, another stands in its place."""
    last = history.states[-1][1]
    write = Write(key="lost", base=last, version=last + 2, content="lost", tries=[history.later()])
    history.writes.append(write)
    at_us = history.end_us + 20
    _, version, content = history.states[-1]
    history.reads.append(Read(sent_us=at_us, done_us=at_us + 1, version=version, content=content))


@plants
def a_lost_one_that_is_built_over(history: History) -> None:
    """It was acknowledged, then another is acknowledged on top of the one before it."""
    a_lost_acknowledged_one(history)
    history.reads.pop()
    last = history.states[-1][1]
    write = Write(key="over", base=last, version=last + 5, content="over")
    write.tries.append(history.later(us=100))
    history.writes.append(write)


@plants
def a_refused_one_in_force(history: History) -> None:
    write = history.refused()[-1]
    at_us = history.end_us
    history.reads.append(
        Read(sent_us=at_us, done_us=at_us + 1, version=write.version, content=write.content)
    )


@plants
def an_acknowledged_one_refused_on_its_repeat(history: History) -> None:
    write = history.in_the_middle()
    again = history.later()
    write.tries.append(Try(sent_us=again.sent_us, done_us=again.done_us, answer=CONFLICT))


@plants
def an_acknowledged_one_found_invalid_on_its_repeat(history: History) -> None:
    write = history.in_the_middle()
    again = history.later()
    write.tries.append(Try(sent_us=again.sent_us, done_us=again.done_us, answer=INVALID))


@plants
def an_unclear_one_read_then_refused(history: History) -> None:
    last = history.states[-1][1]
    at_us = history.end_us
    tries = [
        Try(sent_us=at_us, done_us=at_us + 1, answer=UNCLEAR),
        Try(sent_us=at_us + 10, done_us=at_us + 11, answer=CONFLICT),
    ]
    history.writes.append(
        Write(key="open", base=last, version=last + 1, content="open", tries=tries)
    )
    history.reads.append(
        Read(sent_us=at_us + 4, done_us=at_us + 5, version=last + 1, content="open")
    )


@plants
def a_refusal_while_its_base_is_current(history: History) -> None:
    last = history.states[-1][1]
    at_us = history.end_us + 10_000_000
    for write in history.writes:  # nothing may be open on top of it
        if write.base == last:
            write.tries.append(Try(sent_us=at_us, done_us=at_us, answer=INVALID))
    tries = [Try(sent_us=at_us, done_us=at_us + 1, answer=CONFLICT)]
    history.writes.append(
        Write(key="proper", base=last, version=last + 1, content="proper", tries=tries)
    )


@plants
def an_acknowledged_one_on_a_base_that_never_was(history: History) -> None:
    last = history.states[-1][1]
    write = Write(key="nowhere", base=last + 50, version=last + 51, content="nowhere")
    write.tries.append(history.later())
    history.writes.append(write)


@plants
def a_number_that_does_not_rise(history: History) -> None:
    last = history.states[-1][1]
    write = Write(key="same", base=last, version=last, content="same", tries=[history.later()])
    history.writes.append(write)


class Linearizable(unittest.TestCase):
    def test_histories_of_a_true_register_pass(self) -> None:
        unclear = repeated = refused = 0
        for seed in range(60):
            history = History(seed=seed, changes=25)
            with self.subTest(seed=seed):
                self.assertEqual([], history.judge())
            unclear += sum(w.of(UNCLEAR) == w.tries for w in history.writes)
            repeated += sum(len(w.tries) > 1 for w in history.writes)
            refused += len(history.refused())
        self.assertGreater(min(unclear, repeated, refused), 100, "hardly anything went wrong")

    def test_each_planted_anomaly_is_found(self) -> None:
        for plant in PLANTS:
            for seed in range(12):
                with self.subTest(plant=plant.__name__, seed=seed):
                    history = History(seed=seed, changes=15)
                    plant(history)
                    self.assertNotEqual([], history.judge())

    def test_an_open_order_may_be_taken_at_any_later_time_or_never(self) -> None:
        history = History(seed=1, changes=5)
        last, at_us = history.states[-1][1], history.end_us
        tries = [Try(sent_us=at_us, done_us=at_us + 1, answer=UNCLEAR)]
        write = Write(key="open", base=last, version=last + 1, content="open", tries=tries)
        history.writes.append(write)
        self.assertEqual([], history.judge())
        seen_us = at_us + 3_600_000_000
        read = Read(sent_us=seen_us, done_us=seen_us + 1, version=last + 1, content="open")
        history.reads.append(read)
        self.assertEqual([], history.judge())

    def test_a_gap_is_filled_by_an_open_order(self) -> None:
        """Nobody was told of version 3, and another stands on top of it."""
        sent = dict(sent_us=0, done_us=9)
        rivals = [
            Write(
                key=name,
                base=0,
                version=3,
                content=name,
                tries=[Try(**sent, answer=answer)],
            )
            for name, answer in (("a", UNCLEAR), ("b", UNCLEAR), ("c", CONFLICT))
        ]
        late = Try(sent_us=10, done_us=19, answer=ACKNOWLEDGED)
        over = Write(key="over", base=3, version=4, content="over", tries=[late])
        self.assertEqual([], find_anomalies(writes=[*rivals, over], reads=[]))
        self.assertNotEqual([], find_anomalies(writes=[rivals[2], over], reads=[]))

    def test_a_refusal_is_explained_by_an_open_order(self) -> None:
        refused = Write(
            key="r",
            base=0,
            version=1,
            content="r",
            tries=[Try(sent_us=10, done_us=19, answer=CONFLICT)],
        )
        self.assertNotEqual([], find_anomalies(writes=[refused], reads=[]))
        rival = Write(
            key="o",
            base=0,
            version=1,
            content="o",
            tries=[Try(sent_us=0, done_us=5, answer=UNCLEAR)],
        )
        self.assertEqual([], find_anomalies(writes=[refused, rival], reads=[]))
        empty = Read(sent_us=30, done_us=31, version=0)
        self.assertNotEqual([], find_anomalies(writes=[refused, rival], reads=[empty]))

    def test_hundreds_of_changes_are_judged_quickly(self) -> None:
        history = History(seed=5, changes=800)
        began = time.process_time()
        self.assertEqual([], history.judge())
        self.assertLess(time.process_time() - began, 1.0)


if __name__ == "__main__":
    unittest.main()
