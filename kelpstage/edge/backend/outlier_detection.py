"""What requests show of a life: its pace, its failures, and when it is shunned.

Only requests are evidence: a health answer may be false either way. One late answer
is none (lives pause now and then), and one that turns a request away is loaded, not
ill. Failures in a row shun a life for a while, twice as long each time; then it is
tried with one request at a time. Failures between successes make it dearer, and the
charge fades, so that it is tried again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LATENCY_SHARE = 8  # each answer moves the mean by an eighth
FIRST_ANSWERS = 4  # the first few move it faster
LATENCY_HALF_LIFE_US = 6_000_000
LATENCY_FRESH_US = 1_000_000
FAIL_SHARE = 0.2
FAIL_WEIGHT = 5.0
FAIL_CHARGE_US = 60_000
FAIL_HALF_LIFE_US = 3_000_000
FAILS_IN_A_ROW = 3
FULL_US = 100_000
SHUN_US = 500_000
SHUN_DOUBLINGS = 4  # up to 8 s
CALM_US = 30_000_000  # after that without a shunning the next one is short again
LONGEST_US = 2_000_000
SECOND = 1_000_000
REFUSED, RESET, FAILED, GARBLED, SILENT = "refused", "reset", "failed", "garbled", "silent"
WEIGHTS = {REFUSED: FAILS_IN_A_ROW, RESET: 1, FAILED: 1, GARBLED: 2, SILENT: 2}
PAUSE_US = 150_000  # a life may pause for so long and be well
LONG_SILENCE_US = 500_000
ANSWERED_LATELY_US = 300_000


@dataclass(kw_only=True, slots=True)
class Evidence:
    """What one node saw of one life.

    >>> seen = Evidence()
    >>> [seen.note_failure(why=RESET, now_us=n) for n in (1, 2, 3)]
    [False, False, True]
    >>> seen.is_shunned(now_us=4), seen.is_shunned(now_us=4 + SHUN_US)
    (True, False)
    >>> seen.note_answer(took_us=9_000, now_us=5 + SHUN_US)
    >>> seen.shunned_until_us, seen.mean_us
    (0, 9000.0)
    """

    mean_us: float = 0.0
    answers: int = 0
    answered_us: int = 0
    in_a_row: int = 0
    fail_share: float = 0.0
    failed_us: int = 0
    full_until_us: int = 0
    shunned_until_us: int = 0  # 0: not shunned, nor on trial
    shunned_us: int = -CALM_US
    shuns: int = 0
    causes: dict[str, int] = field(default_factory=dict)

    def note_answer(self, *, took_us: int, now_us: int) -> None:
        """A good answer; `took_us` without the way there and back. 0: not known."""
        self.in_a_row = 0
        self.shunned_until_us = 0
        if self.fail_share:
            self.fail_share = self._fail_share(now_us=now_us) * (1 - FAIL_SHARE)
            self.failed_us = now_us
        if took_us <= 0:
            return
        took_us = min(took_us, LONGEST_US)
        self.answers += 1
        share = min(self.answers, FIRST_ANSWERS) if self.answers < LATENCY_SHARE else LATENCY_SHARE
        if now_us - self.answered_us > LATENCY_HALF_LIFE_US:
            share = min(share, 2)  # what was known is old
        self.mean_us += (took_us - self.mean_us) / share
        self.answered_us = now_us

    def latency_us(self, *, median_us: float, now_us: int) -> float:
        """What an answer takes there; what was seen long ago fades into the median of the
        service, so that a life that was slow is tried again.

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

    def note_full(self, *, now_us: int) -> None:
        """It turned a request away, or lets one wait: others first for a moment."""
        self.full_until_us = now_us + FULL_US

    def note_failure(self, *, why: str, now_us: int) -> bool:
        """A request failed there; true if the life is shunned from now on."""
        self.causes[why] = self.causes.get(why, 0) + 1
        share = self._fail_share(now_us=now_us)
        self.fail_share = share + FAIL_SHARE * (1 - share)
        self.failed_us = now_us
        if now_us < self.shunned_until_us:
            return False  # sent before: the same trouble
        self.in_a_row += WEIGHTS.get(why, 1)
        is_on_trial = self.shunned_until_us > 0
        if self.in_a_row < FAILS_IN_A_ROW and not is_on_trial:
            return False
        if now_us - self.shunned_us >= CALM_US:
            self.shuns = 0
        self.shunned_us = now_us
        self.shunned_until_us = now_us + (SHUN_US << min(self.shuns, SHUN_DOUBLINGS))
        self.shuns += 1
        return True

    def weigh(self, *, why: str, waited_us: int | None, now_us: int) -> str:
        """What a failure counts as, seen beside what else is known; empty: as load.

        >>> seen = Evidence(mean_us=10_000, answers=9, answered_us=0)
        >>> seen.weigh(why=SILENT, waited_us=90_000, now_us=SECOND)
        ''
        >>> seen.weigh(why=SILENT, waited_us=600_000, now_us=SECOND)
        'refused'
        >>> seen.weigh(why=REFUSED, waited_us=None, now_us=100_000)
        'reset'
        """
        if why == REFUSED and self.answers and now_us - self.answered_us < ANSWERED_LATELY_US:
            return RESET  # it may only have too many connections just now
        if why != SILENT or waited_us is None:
            return why
        if waited_us < max(PAUSE_US, 4 * self.mean_us):
            return ""
        return REFUSED if waited_us >= max(LONG_SILENCE_US, 8 * self.mean_us) else SILENT

    def _fail_share(self, *, now_us: int) -> float:
        if self.fail_share < 0.01:
            return 0.0
        return self.fail_share / 2 ** ((now_us - self.failed_us) / FAIL_HALF_LIFE_US)

    def is_shunned(self, *, now_us: int) -> bool:
        return now_us < self.shunned_until_us

    def is_on_trial(self, *, now_us: int) -> bool:
        """Is it to be tried with one request at a time?"""
        return 0 < self.shunned_until_us <= now_us

    def with_failures(self, *, cost_us: float, now_us: int) -> float:
        """A cost, dearer by the failures seen: what failed is sent again elsewhere, which
        costs time, and a part of the budget.

        >>> seen = Evidence()
        >>> _ = seen.note_failure(why=RESET, now_us=0)
        >>> [round(seen.with_failures(cost_us=10_000, now_us=n * FAIL_HALF_LIFE_US))
        ...  for n in (0, 1, 9)]
        [32000, 21000, 10043]
        """
        share = self._fail_share(now_us=now_us)
        return cost_us * (1.0 + FAIL_WEIGHT * share) + FAIL_CHARGE_US * share
