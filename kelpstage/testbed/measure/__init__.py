"""Measurements of single choices and costs."""
