"""Outlier detection: what requests show of an instance, and when it is ejected.

Only requests are evidence: a health answer may be false either way. One late answer
is none (instances pause now and then), and one that turns a request away is loaded, not
ill. Failures in a row eject an instance for a while, twice as long each time; then it
is tried with one request at a time. Failures between successes raise its cost, and that
fades, so that it is tried again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LATENCY_SHARE = 8  # each answer moves the mean by an eighth
FIRST_ANSWERS = 4  # the first few move it faster
LATENCY_HALF_LIFE_US = 6_000_000  # of an estimate that gets no answers
LATENCY_FRESH_US = 1_000_000  # a younger estimate has not faded
FAILURE_MOVING_SHARE = 0.2  # each outcome moves the share of failures by a fifth
FAILURE_COST_FACTOR = 5.0  # how much a share of failures raises the cost
FAILURE_COST_US = 60_000  # and what it adds to it
FAILURE_HALF_LIFE_US = 3_000_000
EJECTION_THRESHOLD = 3  # weight of the failures in a row that eject
OVERLOADED_US = 100_000  # asked last for so long after it turned a request away
EJECTION_US = 500_000  # how long the first ejection lasts
EJECTION_DOUBLINGS = 4  # up to 8 s
EJECTION_RESET_US = 30_000_000  # after so long without one the next is short again
LATENCY_CAP_US = 2_000_000  # a slower answer counts as this
SECOND_US = 1_000_000
REFUSED, RESET, FAILED, GARBLED, SILENT = "refused", "reset", "failed", "garbled", "silent"
FAILURE_WEIGHTS = {REFUSED: EJECTION_THRESHOLD, RESET: 1, FAILED: 1, GARBLED: 2, SILENT: 2}
PAUSE_TOLERATED_US = 150_000  # an instance may pause for so long and be well
LONG_SILENCE_US = 500_000  # no answer for so long ejects at once
ANSWERED_LATELY_US = 300_000  # since the last answer; a refusal then is a sign of load


@dataclass(kw_only=True, slots=True)
class Evidence:
    """What one edge has seen of one instance; times in microseconds.

    >>> seen = Evidence()
    >>> [seen.note_failure(why=RESET, now_us=n) for n in (1, 2, 3)]
    [False, False, True]
    >>> seen.is_ejected(now_us=4), seen.is_ejected(now_us=4 + EJECTION_US)
    (True, False)
    >>> seen.note_answer(took_us=9_000, now_us=5 + EJECTION_US)
    >>> seen.ejected_until_us, seen.mean_us
    (0, 9000.0)
    """

    mean_us: float = 0.0
    answers: int = 0
    answered_us: int = 0
    failures_in_a_row: int = 0
    failure_share: float = 0.0
    failed_us: int = 0
    overloaded_until_us: int = 0
    ejected_until_us: int = 0  # 0: not ejected, nor on trial
    ejected_us: int = -EJECTION_RESET_US
    ejections: int = 0
    causes: dict[str, int] = field(default_factory=dict)

    def note_answer(self, *, took_us: int, now_us: int) -> None:
        """A good answer; `took_us` without the way there and back, 0 if not known."""
        self.failures_in_a_row = 0
        self.ejected_until_us = 0
        if self.failure_share:
            self.failure_share = self._failure_share_at(now_us=now_us) * (1 - FAILURE_MOVING_SHARE)
            self.failed_us = now_us
        if took_us <= 0:
            return
        took_us = min(took_us, LATENCY_CAP_US)
        self.answers += 1
        share = min(self.answers, FIRST_ANSWERS) if self.answers < LATENCY_SHARE else LATENCY_SHARE
        if now_us - self.answered_us > LATENCY_HALF_LIFE_US:
            share = min(share, 2)  # what was known is old
        self.mean_us += (took_us - self.mean_us) / share
        self.answered_us = now_us

    def latency_us(self, *, median_us: float, now_us: int) -> float:
        """What an answer takes there; what was seen long ago fades into the median of the
        service, so that an instance that was slow is tried again.

        >>> seen = Evidence()
        >>> seen.note_answer(took_us=40_000, now_us=0)
        >>> [seen.latency_us(median_us=10_000, now_us=n * LATENCY_HALF_LIFE_US) for n in (0, 1, 2)]
        [40000.0, 25000.0, 17500.0]
        """
        if not self.answers:
            return median_us
        age_us = now_us - self.answered_us
        if age_us < LATENCY_FRESH_US:
            return self.mean_us
        return median_us + (self.mean_us - median_us) * 2 ** (-age_us / LATENCY_HALF_LIFE_US)

    def note_overloaded(self, *, now_us: int) -> None:
        """It turned a request away, or lets one wait: others first for a moment."""
        self.overloaded_until_us = now_us + OVERLOADED_US

    def note_failure(self, *, why: str, now_us: int) -> bool:
        """A request failed there; true if the instance is ejected from now on."""
        self.causes[why] = self.causes.get(why, 0) + 1
        share = self._failure_share_at(now_us=now_us)
        self.failure_share = share + FAILURE_MOVING_SHARE * (1 - share)
        self.failed_us = now_us
        if now_us < self.ejected_until_us:
            return False  # sent before the ejection: the same fault
        self.failures_in_a_row += FAILURE_WEIGHTS.get(why, 1)
        is_on_trial = self.ejected_until_us > 0
        if self.failures_in_a_row < EJECTION_THRESHOLD and not is_on_trial:
            return False
        if now_us - self.ejected_us >= EJECTION_RESET_US:
            self.ejections = 0
        self.ejected_us = now_us
        self.ejected_until_us = now_us + (EJECTION_US << min(self.ejections, EJECTION_DOUBLINGS))
        self.ejections += 1
        return True

    def weigh(self, *, why: str, waited_us: int | None, now_us: int) -> str:
        """What a failure counts as, seen beside what else is known; empty: as load.

        >>> seen = Evidence(mean_us=10_000, answers=9, answered_us=0)
        >>> seen.weigh(why=SILENT, waited_us=90_000, now_us=SECOND_US)
        ''
        >>> seen.weigh(why=SILENT, waited_us=600_000, now_us=SECOND_US)
        'refused'
        >>> seen.weigh(why=REFUSED, waited_us=None, now_us=100_000)
        'reset'
        """
        if why == REFUSED and self.answers and now_us - self.answered_us < ANSWERED_LATELY_US:
            return RESET  # it may only have too many connections just now
        if why != SILENT or waited_us is None:
            return why
        if waited_us < max(PAUSE_TOLERATED_US, 4 * self.mean_us):
            return ""
        return REFUSED if waited_us >= max(LONG_SILENCE_US, 8 * self.mean_us) else SILENT

    def _failure_share_at(self, *, now_us: int) -> float:
        if self.failure_share < 0.01:
            return 0.0
        return self.failure_share / 2 ** ((now_us - self.failed_us) / FAILURE_HALF_LIFE_US)

    def is_ejected(self, *, now_us: int) -> bool:
        """Is it not to be asked at all for now?"""
        return now_us < self.ejected_until_us

    def is_on_trial(self, *, now_us: int) -> bool:
        """Is it to be tried with one request at a time?"""
        return 0 < self.ejected_until_us <= now_us

    def with_failures(self, *, cost_us: float, now_us: int) -> float:
        """A cost, raised by the failures seen: what failed is retried elsewhere, which
        costs time, and a part of the retry budget.

        >>> seen = Evidence()
        >>> _ = seen.note_failure(why=RESET, now_us=0)
        >>> [round(seen.with_failures(cost_us=10_000, now_us=n * FAILURE_HALF_LIFE_US))
        ...  for n in (0, 1, 9)]
        [32000, 21000, 10043]
        """
        share = self._failure_share_at(now_us=now_us)
        return cost_us * (1.0 + FAILURE_COST_FACTOR * share) + FAILURE_COST_US * share
