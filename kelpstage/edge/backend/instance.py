"""Instances of backends: each start of a backend is a separate instance.

This module defines an instance and how two endpoint lists are compared; `discovery.py` reads
the list. A list's digest is the XOR of its instances' hashes, so that a change updates the
digest without iterating over the other instances.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from typing import Iterable

from kelpstage.common.transport.messages import InstanceMsg

TEXT_BYTES_LIMIT = 1_024
SLOTS_LIMIT = 1_000_000
WARMING_UP_LIMIT_US = 3_600_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """One start of a backend.

    `slots` is the number of requests that it processes at a time. `cold_us` is the remaining
    slow start after startup; it is not part of the instance's hash.
    """

    instance_id: str
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    is_draining: bool = False
    cold_us: int = 0
    revision: str = ""


def bounded(*, instance: Instance) -> Instance | None:
    """Return the instance with its numbers clamped to what a message can carry.

    `None` if one of its texts is too long or can't be encoded as UTF-8.

    >>> bounded(instance=Instance(instance_id="i", service="s", address="a:1", slots=2**70)).slots
    1000000
    >>> bounded(instance=Instance(instance_id=chr(0xD800), service="s", address="a:1")) is None
    True
    """
    texts = (
        instance.instance_id,
        instance.service,
        instance.address,
        instance.zone,
        instance.revision,
    )
    try:
        if max(len(text.encode()) for text in texts) > TEXT_BYTES_LIMIT:
            return None
    except UnicodeEncodeError:
        return None
    slots, cold_us = min(instance.slots, SLOTS_LIMIT), min(instance.cold_us, WARMING_UP_LIMIT_US)
    if (slots, cold_us) == (instance.slots, instance.cold_us):
        return instance
    return replace(instance, slots=slots, cold_us=cold_us)


def hash_of(*, instance: Instance) -> int:
    """Return a 64-bit hash of all fields except `cold_us`.

    >>> instance = Instance(instance_id="i", service="s", address="127.0.0.1:1")
    >>> from dataclasses import replace
    >>> hash_of(instance=instance) == hash_of(instance=replace(instance, cold_us=9))
    True
    >>> hash_of(instance=instance) == hash_of(instance=replace(instance, is_draining=True))
    False
    """
    text = "\0".join(
        (
            instance.instance_id,
            instance.service,
            instance.address,
            instance.zone,
            str(instance.slots),
            str(instance.is_draining),
            instance.revision,
        )
    )
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def digest_of(*, instances: Iterable[Instance]) -> int:
    """Return the digest of a complete list, independent of its order.

    >>> digest_of(instances=[])
    0
    """
    digest = 0
    for instance in instances:
        digest ^= hash_of(instance=instance)
    return digest


def message_of(*, instance: Instance, cold_us: int) -> InstanceMsg:
    """Return the message that describes an instance; `cold_us` is relative to the current time.

    >>> instance = Instance(instance_id="i", service="s", address="127.0.0.1:1", slots=2)
    >>> instance_of(message=message_of(instance=instance, cold_us=0)) == instance
    True
    """
    return InstanceMsg(
        instance_id=instance.instance_id,
        service=instance.service,
        address=instance.address,
        zone=instance.zone,
        slots=instance.slots,
        is_draining=instance.is_draining,
        cold_us=cold_us,
        revision=instance.revision,
    )


def instance_of(*, message: InstanceMsg) -> Instance:
    """Return the instance that a message describes."""
    return Instance(
        instance_id=message.instance_id,
        service=message.service,
        address=message.address,
        zone=message.zone,
        slots=max(1, message.slots),
        is_draining=message.is_draining,
        cold_us=message.cold_us,
        revision=message.revision,
    )
