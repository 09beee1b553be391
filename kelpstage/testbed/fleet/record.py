"""Converts the history of a run to a recording that `kelpstage-replay` can replay."""

from __future__ import annotations

from kelpstage.common.recording.format import FILE_HEADER, Row, encode_row


def recording_of(*, history: list[dict]) -> list[Row]:
    """Returns the calls, configuration writes and faults of a history in order of time, with
    times relative to the first.

    >>> rows = recording_of(history=[{"event": "call", "sent_us": 7, "ask": {"path": "/p"}}])
    >>> rows == [{"what": "call", "path": "/p", "at_us": 0}]
    True
    """
    rows: list[Row] = []
    for row in history:
        if row["event"] == "call" and "ask" in row:
            rows.append({"what": "call", **row["ask"], "at_us": row["sent_us"]})
        if row["event"] == "put" and "document" in row:
            rows.append(
                {
                    "what": "put",
                    "put_id": row["put_id"],
                    "replaces": row["expected"],
                    "document": row["document"],
                    "at_us": row["sent_us"],
                }
            )
        if row["event"] == "fault":
            rows.append({"what": "fault", "name": row["what"], "at_us": row["at_us"]})
    rows.sort(key=lambda row: row["at_us"])
    begin_us = rows[0]["at_us"] if rows else 0
    return [{**row, "at_us": row["at_us"] - begin_us} for row in rows]


def write_recording(*, path: str, history: list[dict]) -> None:
    """Writes a history to a file that `kelpstage-replay` can replay."""
    with open(path, "wb") as file:
        file.write(
            FILE_HEADER + b"".join(encode_row(row=row) for row in recording_of(history=history))
        )
