"""Rollouts of software versions: what edges and cores share."""
