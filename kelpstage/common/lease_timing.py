"""Duration of leases and of the confirmations after them, in whole microseconds.

An edge counts the duration from its request for the lease; the leader counts from the grant and
adds the margin. Source: docs/notes/control/leases.md and docs/notes/edge-membership.md.
"""

from __future__ import annotations

LEASE_SPAN_US = 2_000_000
LEASE_MARGIN_US = 200_000  # allows for clocks that run at different rates

CONFIRMS_AFTER_LEASE_US = 2_000_000  # how long an observer confirms its epoch after its lease
OBSERVER_SPAN_US = LEASE_SPAN_US + CONFIRMS_AFTER_LEASE_US
OBSERVER_MARGIN_US = 400_000
