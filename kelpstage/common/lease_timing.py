"""How long a lease lasts, and what it is worth when it is over; whole microseconds.

An edge counts from when it asked for the lease, the leader from when it granted it, and
adds the margin. Source: docs/notes/control/leases.md and docs/notes/edge-membership.md.
"""

from __future__ import annotations

LEASE_SPAN_US = 2_000_000
LEASE_MARGIN_US = 200_000  # for clocks that run at different speeds

CONFIRMS_AFTER_LEASE_US = 2_000_000  # an observer confirms its epoch for so long
OBSERVER_SPAN_US = LEASE_SPAN_US + CONFIRMS_AFTER_LEASE_US
OBSERVER_MARGIN_US = 400_000
