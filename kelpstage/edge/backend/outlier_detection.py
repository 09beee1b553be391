"""Outlier detection: per-instance statistics of requests, and when an instance is ejected.

Only requests count, because the result of a health check may be a false positive or a false
negative. A single late answer does not count (instances pause now and then), and an instance
that rejects a request is overloaded, not faulty. Consecutive failures eject an instance for a
while, twice as long each time; then it gets one request at a time. Failures between successes
raise its cost, and the increase decays, so that it is tried again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LATENCY_EWMA_DIVISOR = 8  # each answer moves the mean by an eighth of the difference
INITIAL_EWMA_DIVISOR = 4  # until there are 8 answers, each moves it by at least a quarter
LATENCY_HALF_LIFE_US = 6_000_000  # of an estimate without new answers
LATENCY_FRESH_US = 1_000_000  # a younger estimate does not decay
FAILURE_EWMA_WEIGHT = 0.2  # each outcome moves the share of failures by a fifth
FAILURE_COST_FACTOR = 5.0  # multiplied by the share of failures, raises the cost
FAILURE_COST_US = 60_000  # multiplied by the share of failures, added to the cost
FAILURE_HALF_LIFE_US = 3_000_000
EJECTION_THRESHOLD = 3  # total weight of the consecutive failures that eject
OVERLOADED_US = 100_000  # ranked lower for this long after it rejected a request
EJECTION_US = 500_000  # length of the first ejection
EJECTION_DOUBLINGS = 4  # up to 8 s
EJECTION_RESET_US = 30_000_000  # after this long without an ejection, the next one is short again
LATENCY_CAP_US = 2_000_000  # a slower answer counts as this latency
SECOND_US = 1_000_000
REFUSED, RESET, FAILED, GARBLED, SILENT = "refused", "reset", "failed", "garbled", "silent"
FAILURE_WEIGHTS = {REFUSED: EJECTION_THRESHOLD, RESET: 1, FAILED: 1, GARBLED: 2, SILENT: 2}
PAUSE_TOLERATED_US = 150_000  # a healthy instance may pause for this long
LONG_SILENCE_US = 500_000  # no answer for this long ejects at once
RECENT_ANSWER_US = 300_000  # a connection refused this soon after an answer indicates load


@dataclass(kw_only=True, slots=True)
class OutlierStatistics:
    """One edge's statistics of one instance; times are in microseconds.

    >>> seen = OutlierStatistics()
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
    ejected_until_us: int = 0  # 0: neither ejected nor on trial
    ejected_us: int = -EJECTION_RESET_US
    ejections: int = 0
    causes: dict[str, int] = field(default_factory=dict)

    def note_answer(self, *, took_us: int, now_us: int) -> None:
        """Record a correct answer; `took_us` excludes the round trip and is 0 if unknown."""
        self.failures_in_a_row = 0
        self.ejected_until_us = 0
        if self.failure_share:
            self.failure_share = self._failure_share_at(now_us=now_us) * (1 - FAILURE_EWMA_WEIGHT)
            self.failed_us = now_us
        if took_us <= 0:
            return
        took_us = min(took_us, LATENCY_CAP_US)
        self.answers += 1
        divisor = (
            min(self.answers, INITIAL_EWMA_DIVISOR)
            if self.answers < LATENCY_EWMA_DIVISOR
            else LATENCY_EWMA_DIVISOR
        )
        if now_us - self.answered_us > LATENCY_HALF_LIFE_US:
            divisor = min(divisor, 2)  # the estimate is old
        self.mean_us += (took_us - self.mean_us) / divisor
        self.answered_us = now_us

    def latency_us(self, *, median_us: float, now_us: int) -> float:
        """Return the expected latency of an answer.

        An old estimate decays toward the median of the service, so that an instance that was
        slow is tried again.

        >>> seen = OutlierStatistics()
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
        """Record that it rejected a request or lets one wait: others are preferred for a while."""
        self.overloaded_until_us = now_us + OVERLOADED_US

    def note_failure(self, *, why: str, now_us: int) -> bool:
        """Record that a request failed; true if the instance is now ejected."""
        self.causes[why] = self.causes.get(why, 0) + 1
        share = self._failure_share_at(now_us=now_us)
        self.failure_share = share + FAILURE_EWMA_WEIGHT * (1 - share)
        self.failed_us = now_us
        if now_us < self.ejected_until_us:
            return False  # the request was sent before the ejection: the same fault
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

    def classify_failure(self, *, why: str, waited_us: int | None, now_us: int) -> str:
        """Return the cause that a failure counts as in its context; empty if it indicates load.

        >>> seen = OutlierStatistics(mean_us=10_000, answers=9, answered_us=0)
        >>> seen.classify_failure(why=SILENT, waited_us=90_000, now_us=SECOND_US)
        ''
        >>> seen.classify_failure(why=SILENT, waited_us=600_000, now_us=SECOND_US)
        'refused'
        >>> seen.classify_failure(why=REFUSED, waited_us=None, now_us=100_000)
        'reset'
        """
        if why == REFUSED and self.answers and now_us - self.answered_us < RECENT_ANSWER_US:
            return RESET  # it may merely have too many connections at the moment
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
        """True if the instance must not receive requests now."""
        return now_us < self.ejected_until_us

    def is_on_trial(self, *, now_us: int) -> bool:
        """True if the instance may receive one request at a time."""
        return 0 < self.ejected_until_us <= now_us

    def failure_adjusted_cost_us(self, *, cost_us: float, now_us: int) -> float:
        """Return a cost raised by the share of failures.

        A failed request is retried elsewhere, which takes time and a part of the retry budget.

        >>> seen = OutlierStatistics()
        >>> _ = seen.note_failure(why=RESET, now_us=0)
        >>> [round(seen.failure_adjusted_cost_us(cost_us=10_000, now_us=n * FAILURE_HALF_LIFE_US))
        ...  for n in (0, 1, 9)]
        [32000, 21000, 10043]
        """
        share = self._failure_share_at(now_us=now_us)
        return cost_us * (1.0 + FAILURE_COST_FACTOR * share) + FAILURE_COST_US * share
