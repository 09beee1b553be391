"""Gathering: the stages of a request, its state, and the task that runs them."""
