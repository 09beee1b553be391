"""Membership of edges by the SWIM protocol, and its datagrams."""
