"""Addresses are `IP:port` and nothing else; names are not looked up."""

from __future__ import annotations

import ipaddress


def split_address(*, address: str) -> tuple[str, int]:
    """Split `IP:port`.

    >>> split_address(address="127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(*, address: object) -> bool:
    """Is this an `IP:port`?

    >>> is_address(address="10.0.0.1:9"), is_address(address="host:9"), is_address(address=7)
    (True, False, False)
    """
    if not isinstance(address, str):
        return False
    host, colon, port = address.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True
