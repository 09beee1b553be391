"""Edge leases, edge membership, and configuration writes, as the leader handles them."""
