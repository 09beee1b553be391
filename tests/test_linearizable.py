"""The linearizability checker passes random histories of a correct register and finds each
planted anomaly in them."""

from __future__ import annotations

import random
import time
import unittest
from typing import Callable

from kelpstage.testbed.checkers.linearizable import Answer, Attempt, Read, Write, find_anomalies

ACKNOWLEDGED, CONFLICT, INVALID, UNCLEAR = Answer


class History:
    """A random history of operators of a correct register. Each call takes effect at a random
    time between its start and its answer; if the answer is lost, it may take effect later."""

    def __init__(self, *, seed: int, changes: int, operators: int = 3) -> None:
        self.rand = random.Random(seed)
        self.writes: list[Write] = []
        self.reads: list[Read] = []
        self.states: list[tuple[int, int, str]] = [(0, 0, "")]  # start time, version, content
        self._effects: list[tuple[int, int, Callable[[int], None]]] = []
        self._serial = 0
        now_us = 0
        while len(self.states) <= changes:
            now_us += self.rand.randrange(1, 900_000)
            self._run_effects(until_us=now_us)
            for _ in range(self.rand.randrange(1, operators + 1)):
                self._send_write(now_us=now_us)
            self._read(now_us=now_us)
        now_us += 60_000_000
        self._run_effects(until_us=now_us)
        self._read(now_us=now_us)
        self._run_effects(until_us=now_us + 9_000_000)
        self.end_us = now_us + 9_000_000

    def _schedule(self, us: int, effect: Callable[[int], None]) -> None:
        self._serial += 1
        self._effects.append((us, self._serial, effect))

    def _run_effects(self, *, until_us: int) -> None:
        while self._effects:
            first = min(self._effects)
            if first[0] > until_us:
                return
            self._effects.remove(first)
            first[2](first[0])

    def _draw_times(self, *, from_us: int) -> tuple[int, int]:
        effect_us = from_us + self.rand.randrange(1, 400_000)
        return effect_us, effect_us + self.rand.randrange(1, 400_000)

    def _send_write(self, *, now_us: int) -> None:
        base = self.states[-1][1]
        version = base + self.rand.randrange(1, 4)
        name = f"o{len(self.writes)}"
        write = Write(key=name, base=base, version=version, content=f"{version} {name}")
        self.writes.append(write)
        self._send_attempt(write=write, sent_us=now_us)

    def _send_attempt(self, *, write: Write, sent_us: int) -> None:
        effect_us, done_us = self._draw_times(from_us=sent_us)
        is_lost = self.rand.random() < 0.5  # the answer is lost
        if is_lost and self.rand.random() < 0.2:
            effect_us += self.rand.randrange(5_000_000)  # a delayed copy

        def effect(at_us: int) -> None:
            answer = self._apply(write=write, at_us=at_us)
            if is_lost:
                return
            write.tries.append(Attempt(sent_us=sent_us, done_us=done_us, answer=answer))

        self._schedule(effect_us, effect)
        if is_lost:
            write.tries.append(Attempt(sent_us=sent_us, done_us=done_us, answer=UNCLEAR))
            if self.rand.random() < 0.7:
                again_us = done_us + self.rand.randrange(1, 500_000)
                self._schedule(
                    again_us, lambda at_us: self._send_attempt(write=write, sent_us=at_us)
                )

    def _apply(self, *, write: Write, at_us: int) -> Answer:
        if any(content == write.content for _, _, content in self.states):
            return ACKNOWLEDGED
        if self.states[-1][1] != write.base:
            return CONFLICT
        self.states.append((at_us, write.version, write.content))
        return ACKNOWLEDGED

    def _read(self, *, now_us: int) -> None:
        effect_us, done_us = self._draw_times(from_us=now_us)

        def effect(_: int) -> None:
            _, version, content = self.states[-1]
            read = Read(sent_us=now_us, done_us=done_us, version=version, content=content)
            self.reads.append(read)

        self._schedule(effect_us, effect)

    def find_anomalies(self) -> list:
        return find_anomalies(writes=self.writes, reads=self.reads)

    # --- used by planted anomalies --------------------------------------------------------------

    def acknowledged_writes(self) -> list[Write]:
        return [write for write in self.writes if write.attempts_with(ACKNOWLEDGED)]

    def refused_writes(self) -> list[Write]:
        return [write for write in self.writes if write.attempts_with(CONFLICT)]

    def middle_acknowledged(self) -> Write:
        found = self.acknowledged_writes()
        return found[len(found) // 2]

    def late_acknowledgement(self, us: int = 0) -> Attempt:
        return Attempt(sent_us=self.end_us + us, done_us=self.end_us + us + 9, answer=ACKNOWLEDGED)


PLANTS: list[Callable[[History], None]] = []


def planted(plant: Callable[[History], None]) -> Callable[[History], None]:
    PLANTS.append(plant)
    return plant


@planted
def a_stale_read(history: History) -> None:
    old = history.middle_acknowledged()
    at_us = history.end_us
    history.reads.append(
        Read(sent_us=at_us, done_us=at_us + 1, version=old.version, content=old.content)
    )


@planted
def reads_that_return_an_older_version_after_a_newer_one(history: History) -> None:
    """Of two consecutive reads, the second returns an older version; no acknowledgement is needed
    to find this."""
    one, two = history.states[-2:]
    for place, (_, version, content) in enumerate((two, one)):
        at_us = history.end_us + 10 * place
        history.reads.append(
            Read(sent_us=at_us, done_us=at_us + 5, version=version, content=content)
        )


@planted
def a_read_of_content_that_was_never_sent(history: History) -> None:
    at_us = history.end_us
    version = history.states[-1][1]
    history.reads.append(Read(sent_us=at_us, done_us=at_us + 1, version=version, content="another"))


@planted
def an_empty_register_after_an_acknowledgement(history: History) -> None:
    history.reads.append(Read(sent_us=history.end_us, done_us=history.end_us + 1, version=0))


@planted
def a_read_of_a_write_before_it_was_sent(history: History) -> None:
    write = history.middle_acknowledged()
    at_us = write.sent_us - 2
    history.reads.append(
        Read(sent_us=at_us, done_us=at_us + 1, version=write.version, content=write.content)
    )


@planted
def two_acknowledged_writes_on_one_base(history: History) -> None:
    winner = history.middle_acknowledged()
    history.writes.append(
        Write(
            key="second winner",
            base=winner.base,
            version=winner.version + 1,
            content="second",
            tries=[Attempt(sent_us=winner.sent_us, done_us=winner.acked_us, answer=ACKNOWLEDGED)],
        )
    )


@planted
def two_acknowledged_writes_with_one_version(history: History) -> None:
    winner = history.middle_acknowledged()
    history.writes.append(
        Write(
            key="the same number",
            base=winner.base,
            version=winner.version,
            content="second",
            tries=[Attempt(sent_us=winner.sent_us, done_us=winner.acked_us, answer=ACKNOWLEDGED)],
        )
    )


@planted
def a_lost_acknowledged_write(history: History) -> None:
    """The last acknowledged write is lost: the final read returns the version before it."""
    last = history.states[-1][1]
    write = Write(
        key="lost",
        base=last,
        version=last + 2,
        content="lost",
        tries=[history.late_acknowledgement()],
    )
    history.writes.append(write)
    at_us = history.end_us + 20
    _, version, content = history.states[-1]
    history.reads.append(Read(sent_us=at_us, done_us=at_us + 1, version=version, content=content))


@planted
def a_lost_write_and_another_on_its_base(history: History) -> None:
    """After a write was acknowledged, another one is acknowledged on the same base."""
    a_lost_acknowledged_write(history)
    history.reads.pop()
    last = history.states[-1][1]
    write = Write(key="over", base=last, version=last + 5, content="over")
    write.tries.append(history.late_acknowledgement(us=100))
    history.writes.append(write)


@planted
def a_refused_write_in_force(history: History) -> None:
    write = history.refused_writes()[-1]
    at_us = history.end_us
    history.reads.append(
        Read(sent_us=at_us, done_us=at_us + 1, version=write.version, content=write.content)
    )


@planted
def an_acknowledged_write_refused_on_its_repeat(history: History) -> None:
    write = history.middle_acknowledged()
    again = history.late_acknowledgement()
    write.tries.append(Attempt(sent_us=again.sent_us, done_us=again.done_us, answer=CONFLICT))


@planted
def an_acknowledged_write_found_invalid_on_its_repeat(history: History) -> None:
    write = history.middle_acknowledged()
    again = history.late_acknowledgement()
    write.tries.append(Attempt(sent_us=again.sent_us, done_us=again.done_us, answer=INVALID))


@planted
def an_unanswered_write_that_is_read_and_then_refused(history: History) -> None:
    last = history.states[-1][1]
    at_us = history.end_us
    tries = [
        Attempt(sent_us=at_us, done_us=at_us + 1, answer=UNCLEAR),
        Attempt(sent_us=at_us + 10, done_us=at_us + 11, answer=CONFLICT),
    ]
    history.writes.append(
        Write(key="open", base=last, version=last + 1, content="open", tries=tries)
    )
    history.reads.append(
        Read(sent_us=at_us + 4, done_us=at_us + 5, version=last + 1, content="open")
    )


@planted
def a_refused_write_whose_base_is_current(history: History) -> None:
    last = history.states[-1][1]
    at_us = history.end_us + 10_000_000
    for write in history.writes:  # no other write on this base may be unresolved
        if write.base == last:
            write.tries.append(Attempt(sent_us=at_us, done_us=at_us, answer=INVALID))
    tries = [Attempt(sent_us=at_us, done_us=at_us + 1, answer=CONFLICT)]
    history.writes.append(
        Write(key="proper", base=last, version=last + 1, content="proper", tries=tries)
    )


@planted
def an_acknowledged_write_on_an_unknown_base(history: History) -> None:
    last = history.states[-1][1]
    write = Write(key="nowhere", base=last + 50, version=last + 51, content="nowhere")
    write.tries.append(history.late_acknowledgement())
    history.writes.append(write)


@planted
def a_version_that_does_not_rise(history: History) -> None:
    last = history.states[-1][1]
    write = Write(
        key="same", base=last, version=last, content="same", tries=[history.late_acknowledgement()]
    )
    history.writes.append(write)


class Linearizable(unittest.TestCase):
    def test_histories_of_a_correct_register_pass(self) -> None:
        unclear = repeated = refused = 0
        for seed in range(60):
            history = History(seed=seed, changes=25)
            with self.subTest(seed=seed):
                self.assertEqual([], history.find_anomalies())
            unclear += sum(w.attempts_with(UNCLEAR) == w.tries for w in history.writes)
            repeated += sum(len(w.tries) > 1 for w in history.writes)
            refused += len(history.refused_writes())
        self.assertGreater(
            min(unclear, repeated, refused), 100, "too few unclear, repeated or refused writes"
        )

    def test_each_planted_anomaly_is_found(self) -> None:
        for plant in PLANTS:
            for seed in range(12):
                with self.subTest(plant=plant.__name__, seed=seed):
                    history = History(seed=seed, changes=15)
                    plant(history)
                    self.assertNotEqual([], history.find_anomalies())

    def test_an_unanswered_write_may_be_applied_at_any_later_time_or_never(self) -> None:
        history = History(seed=1, changes=5)
        last, at_us = history.states[-1][1], history.end_us
        tries = [Attempt(sent_us=at_us, done_us=at_us + 1, answer=UNCLEAR)]
        write = Write(key="open", base=last, version=last + 1, content="open", tries=tries)
        history.writes.append(write)
        self.assertEqual([], history.find_anomalies())
        seen_us = at_us + 3_600_000_000
        read = Read(sent_us=seen_us, done_us=seen_us + 1, version=last + 1, content="open")
        history.reads.append(read)
        self.assertEqual([], history.find_anomalies())

    def test_a_gap_is_filled_by_an_unanswered_write(self) -> None:
        """Version 3 was never acknowledged, but an acknowledged write is based on it."""
        sent = dict(sent_us=0, done_us=9)
        rivals = [
            Write(
                key=name,
                base=0,
                version=3,
                content=name,
                tries=[Attempt(**sent, answer=answer)],
            )
            for name, answer in (("a", UNCLEAR), ("b", UNCLEAR), ("c", CONFLICT))
        ]
        late = Attempt(sent_us=10, done_us=19, answer=ACKNOWLEDGED)
        over = Write(key="over", base=3, version=4, content="over", tries=[late])
        self.assertEqual([], find_anomalies(writes=[*rivals, over], reads=[]))
        self.assertNotEqual([], find_anomalies(writes=[rivals[2], over], reads=[]))

    def test_a_refusal_is_explained_by_an_unanswered_write(self) -> None:
        refused = Write(
            key="r",
            base=0,
            version=1,
            content="r",
            tries=[Attempt(sent_us=10, done_us=19, answer=CONFLICT)],
        )
        self.assertNotEqual([], find_anomalies(writes=[refused], reads=[]))
        rival = Write(
            key="o",
            base=0,
            version=1,
            content="o",
            tries=[Attempt(sent_us=0, done_us=5, answer=UNCLEAR)],
        )
        self.assertEqual([], find_anomalies(writes=[refused, rival], reads=[]))
        empty = Read(sent_us=30, done_us=31, version=0)
        self.assertNotEqual([], find_anomalies(writes=[refused, rival], reads=[empty]))

    def test_hundreds_of_writes_are_checked_within_a_second(self) -> None:
        history = History(seed=5, changes=800)
        began = time.process_time()
        self.assertEqual([], history.find_anomalies())
        self.assertLess(time.process_time() - began, 1.0)


if __name__ == "__main__":
    unittest.main()
