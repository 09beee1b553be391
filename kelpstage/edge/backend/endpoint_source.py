"""Sources of the endpoint list: the interface of a page format, and the native format."""

from __future__ import annotations

import json
from typing import Any, Protocol

from kelpstage.common.errors.backends import InvalidReplyError
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.transport.address import is_address
from kelpstage.edge.backend.instance import Instance, bounded

PAGE_TIMEOUT_US = 800_000


class EndpointSource(Protocol):
    """Builds the requests for the pages of a list and parses the replies.

    A malformed entry is skipped; a malformed page results in a `KelpstageError`.
    """

    def page_call(self, token: str | None) -> HttpCall:
        """Return the request for a page; the first page has no token."""
        ...

    def read_page(self, reply: HttpReply) -> tuple[list[Instance], str | None] | KelpstageError:
        """Return the instances of a page and the token of the next page, `None` after the last."""
        ...


class HttpEndpointSource:
    """The native format: `{"lives": [{...}], "next": token or null}`.

    >>> adapter = HttpEndpointSource(url="http://127.0.0.1:9/lives")
    >>> adapter.page_call("p2").url
    'http://127.0.0.1:9/lives?page=p2'
    >>> row = '{"instance": "i", "service": "s", "address": "127.0.0.1:8", "slots": 2}'
    >>> instances, token = adapter.read_page(
    ...     HttpReply(status=200, body=f'{{"lives": [{row}, 7], "next": null}}'.encode()))
    >>> instances[0].slots, len(instances), token
    (2, 1, None)
    >>> adapter.read_page(HttpReply(status=429)).part
    'status'
    """

    def __init__(self, *, url: str) -> None:
        self._url = url

    def page_call(self, token: str | None) -> HttpCall:
        """Return a GET request for the page."""
        query = f"?page={token}" if token else ""
        return HttpCall(
            method="GET", url=f"{self._url}{query}", wait_us=PAGE_TIMEOUT_US, connection_limit=1
        )

    def read_page(self, reply: HttpReply) -> tuple[list[Instance], str | None] | KelpstageError:
        """Return the instances of a page and the token of the next page."""
        if reply.status != 200:
            return InvalidReplyError(backend="list", part="status", why=str(reply.status))
        try:
            page = json.loads(reply.body)
            rows, token = page["lives"], page.get("next")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            return InvalidReplyError(backend="list", part="form", why=type(error).__name__)
        if not isinstance(rows, list) or not isinstance(token, (str, type(None))):
            return InvalidReplyError(
                backend="list", part="form", why="entries or token have the wrong type"
            )
        return [instance for instance in map(_own_instance, rows) if instance is not None], token


def _own_instance(row: Any) -> Instance | None:
    """Parse an entry of the list; `None` if it is malformed."""
    if not isinstance(row, dict):
        return None
    texts: list[Any] = [row.get(name) for name in ("instance", "service")]
    texts += [row.get("zone", ""), row.get("revision", "")]
    slots, cold_us = row.get("slots", 1), row.get("cold_us", 0)
    if not all(isinstance(text, str) for text in texts) or not texts[0] or not texts[1]:
        return None
    if (
        type(slots) is not int
        or type(cold_us) is not int
        or not is_address(address=row.get("address"))
    ):
        return None
    instance = Instance(
        instance_id=texts[0],
        service=texts[1],
        address=row["address"],
        zone=texts[2],
        slots=max(1, slots),
        is_draining=row.get("state") == "draining",
        cold_us=max(0, cold_us),
        revision=texts[3],
    )
    return bounded(instance=instance)
