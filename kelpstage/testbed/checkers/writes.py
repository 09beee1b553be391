"""Linearizability of the writes and reads that operators of a fleet recorded."""

from __future__ import annotations

from kelpstage.testbed.checkers.base import Violation, no_rows_violation, rows_of
from kelpstage.testbed.checkers.linearizable import Answer, Attempt, Read, Write, find_anomalies

RULE = "linearizable orders"
CONFLICTS = frozenset(("version_mismatch", "version_not_above"))
INVALIDS = frozenset(("configuration_refused", "missing_if_match", "bad_request", "oversized_body"))


def linearizable(history: list[dict]) -> list[Violation]:
    """No sequential order of all writes and reads explains the answers that operators got,
    including those to repeated writes and those that were lost."""
    writes, reads = writes_of(history=history), reads_of(history=history)
    if not any(write.attempts_with(Answer.ACKNOWLEDGED) for write in writes) or not reads:
        return no_rows_violation(rule=RULE, what="acknowledged writes or configurations read back")
    found = find_anomalies(writes=writes, reads=reads)
    return [Violation(rule=RULE, why=anomaly.why, at_us=anomaly.at_us) for anomaly in found]


def writes_of(*, history: list[dict]) -> list[Write]:
    """Return all writes with their attempts. The same content on the same base version is the
    same write, regardless of its sender and its put id."""
    writes: dict[tuple[int, str], Write] = {}
    for row in rows_of(history=history, event="put"):
        content = row.get("digest", "")
        write = writes.setdefault(
            (row["expected"], content),
            Write(
                key=row["put_id"],
                base=row["expected"],
                version=row["expected"] + 1,  # unless the operator states another
                content=content,
            ),
        )
        answer = _answer_of(row=row)
        if answer is Answer.ACKNOWLEDGED:
            write.version = row["body"]["version"]
        write.tries.append(Attempt(sent_us=row["sent_us"], done_us=row["at_us"], answer=answer))
    return list(writes.values())


def _answer_of(*, row: dict) -> Answer:
    if row.get("status") == 200:
        return Answer.ACKNOWLEDGED
    if row.get("end") in CONFLICTS:
        return Answer.CONFLICT
    return Answer.INVALID if row.get("end") in INVALIDS else Answer.UNCLEAR


def reads_of(*, history: list[dict]) -> list[Read]:
    """Return the successful reads of all operators."""
    return [
        Read(
            sent_us=row.get("sent_us", row["at_us"]),
            done_us=row["at_us"],
            version=row["version"],
            content=row["digest"],
        )
        for row in rows_of(history=history, event="read_back")
        if row["status"] == 200
    ]
