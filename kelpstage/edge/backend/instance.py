"""Lives of backends: every start of a backend is a life of its own.

The list of lives comes from outside (`lists.py`); this module knows what a life is
and how two lists are compared. A list's digest is the XOR of its lives' hashes, so
that a change costs no walk over the rest.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from typing import Iterable

from kelpstage.common.transport.messages import LifeMsg

TEXT_BYTES = 1_024
MOST_SLOTS = 1_000_000
MOST_COLD_US = 3_600_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Life:
    """One start of a backend.

    `slots` is how many requests it works on at a time, `cold_us` how much longer it
    is slow from its start; that one is not part of a life's identity.
    """

    instance: str
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    is_draining: bool = False
    cold_us: int = 0
    revision: str = ""


def bounded(*, life: Life) -> Life | None:
    """The life with its numbers inside what a message carries, or `None` if a text of it
    can't be sent on.

    >>> bounded(life=Life(instance="i", service="s", address="a:1", slots=2**70)).slots
    1000000
    >>> bounded(life=Life(instance=chr(0xD800), service="s", address="a:1")) is None
    True
    """
    texts = (life.instance, life.service, life.address, life.zone, life.revision)
    try:
        if max(len(text.encode()) for text in texts) > TEXT_BYTES:
            return None
    except UnicodeEncodeError:
        return None
    slots, cold_us = min(life.slots, MOST_SLOTS), min(life.cold_us, MOST_COLD_US)
    if (slots, cold_us) == (life.slots, life.cold_us):
        return life
    return replace(life, slots=slots, cold_us=cold_us)


def hash_of(*, life: Life) -> int:
    """64 bits of everything but the cold time.

    >>> life = Life(instance="i", service="s", address="127.0.0.1:1")
    >>> from dataclasses import replace
    >>> hash_of(life=life) == hash_of(life=replace(life, cold_us=9))
    True
    >>> hash_of(life=life) == hash_of(life=replace(life, is_draining=True))
    False
    """
    text = "\0".join(
        (
            life.instance,
            life.service,
            life.address,
            life.zone,
            str(life.slots),
            str(life.is_draining),
            life.revision,
        )
    )
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def digest_of(*, lives: Iterable[Life]) -> int:
    """The digest of a whole list, whatever its order.

    >>> digest_of(lives=[])
    0
    """
    digest = 0
    for life in lives:
        digest ^= hash_of(life=life)
    return digest


def message_of(*, life: Life, cold_us: int) -> LifeMsg:
    """A life as it travels; its cold time counts from now.

    >>> life = Life(instance="i", service="s", address="127.0.0.1:1", slots=2)
    >>> life_of(message=message_of(life=life, cold_us=0)) == life
    True
    """
    return LifeMsg(
        instance=life.instance,
        service=life.service,
        address=life.address,
        zone=life.zone,
        slots=life.slots,
        is_draining=life.is_draining,
        cold_us=cold_us,
        revision=life.revision,
    )


def life_of(*, message: LifeMsg) -> Life:
    """The life that a message tells of."""
    return Life(
        instance=message.instance,
        service=message.service,
        address=message.address,
        zone=message.zone,
        slots=max(1, message.slots),
        is_draining=message.is_draining,
        cold_us=message.cold_us,
        revision=message.revision,
    )
