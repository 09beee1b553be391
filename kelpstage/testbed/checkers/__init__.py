"""Checkers of recorded histories, one for each rule that must never break."""
