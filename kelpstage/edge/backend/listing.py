"""Reads a complete endpoint list, page by page."""

from __future__ import annotations

from collections import Counter

from kelpstage.common.errors.backends import InvalidReplyError
from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import Ports
from kelpstage.edge.backend.endpoint_source import EndpointSource
from kelpstage.edge.backend.instance import Instance

PAGE_LIMIT, FIRST_PAGE_LIMIT = 20, 60  # pages of a later reading, and of the first one


class ListingReader:
    """Reads all pages of a list; `pages` is the count of the last reading, 0 before the first."""

    def __init__(self, *, ports: Ports, source: EndpointSource, counts: Counter[str]) -> None:
        self.pages = 0
        self._ports = ports
        self._source = source
        self._counts = counts

    async def read(self, *, until_us: int) -> list[Instance] | KelpstageError:
        """Return the complete list or the error; requests no further page after `until_us`."""
        found: dict[str, Instance] = {}
        tokens: set[str] = set()
        token: str | None = None
        limit = max(PAGE_LIMIT, 2 * self.pages) if self.pages else FIRST_PAGE_LIMIT
        for _ in range(limit):
            page = await self._read_page(token=token)
            if isinstance(page, KelpstageError):
                return page
            instances, token = page
            error = _add(instances=instances, found=found)
            if error is not None:
                return error
            if token is None:
                self.pages = len(tokens) + 1
                return list(found.values())
            if token in tokens:
                return _invalid(part="token", why="a page token occurs twice")
            if self._ports.clock.now_us() > until_us:
                return _invalid(part="pages", why="reading took too long")
            tokens.add(token)
        return _invalid(part="pages", why=f"more than {limit}")

    async def _read_page(
        self, *, token: str | None
    ) -> tuple[list[Instance], str | None] | KelpstageError:
        self._counts["list_calls"] += 1
        reply = await self._ports.net.fetch(call=self._source.page_call(token))
        return reply if isinstance(reply, KelpstageError) else self._source.read_page(reply)


def _add(*, instances: list[Instance], found: dict[str, Instance]) -> InvalidReplyError | None:
    """Add the instances of a page to those of the earlier pages."""
    for instance in instances:
        known = found.setdefault(instance.instance_id, instance)
        if (known.service, known.address) != (instance.service, instance.address):
            return _invalid(part="entry", why="an instance is listed twice")
        if instance.is_draining:  # it moved to a later page during the reading
            found[instance.instance_id] = instance
    return None


def _invalid(*, part: str, why: str) -> InvalidReplyError:
    return InvalidReplyError(backend="list", part=part, why=why)
