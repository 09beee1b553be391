"""Builds the HTTP requests for the rows of a recording."""

from __future__ import annotations

import base64

from kelpstage.common.ports.interfaces import HttpCall
from kelpstage.common.recording.format import Row

EXTRA_WAIT_US = 1_000_000  # the client waits longer than the time it grants the server
DEFAULT_PUT_TIME_LEFT_US = 10_000_000  # for a put whose row has no time


def request_of_call(*, row: Row, address: str) -> HttpCall:
    """Returns the recorded request, addressed to `address`.

    >>> row = {"method": "GET", "path": "/p", "time_left_us": 5}
    >>> request_of_call(row=row, address="a").url
    'http://a/p'
    """
    headers = {"Kelp-Time-Left-Us": str(row["time_left_us"])}
    if row.get("content_type"):
        headers["Content-Type"] = row["content_type"]
    return HttpCall(
        method=row["method"],
        url=f"http://{address}{row['path']}",
        headers=headers,
        body=base64.b64decode(row.get("body", "")),
        wait_us=row["time_left_us"] + EXTRA_WAIT_US,
    )


def request_of_put(*, row: Row, address: str, replaces: int) -> HttpCall:
    """Returns the recorded put, with `replaces` as its base version."""
    wait_us = row.get("time_left_us", DEFAULT_PUT_TIME_LEFT_US)
    return HttpCall(
        method="PUT",
        url=f"http://{address}/v1/configuration",
        headers={
            "If-Match": f'"{replaces}"',
            "Kelp-Put-Id": row["put_id"],
            "Kelp-Time-Left-Us": str(wait_us),
        },
        body=base64.b64decode(row["document"]),
        wait_us=wait_us + EXTRA_WAIT_US,
    )
