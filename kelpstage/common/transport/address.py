"""Addresses have the form `IP:port`; host names are neither accepted nor resolved."""

from __future__ import annotations

import ipaddress


def split_address(*, address: str) -> tuple[str, int]:
    """Split `IP:port` into host and port, without the brackets of an IPv6 address.

    >>> split_address(address="127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_address(*, address: object) -> bool:
    """True if the value is an `IP:port` string with a port from 1 to 65535.

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
