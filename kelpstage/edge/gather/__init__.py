"""Gathering: the state of a request, the stages that process it and the task that runs them."""
