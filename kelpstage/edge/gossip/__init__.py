"""Membership of edges after SWIM, and its datagrams."""
