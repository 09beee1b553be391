"""The stages that each run of the gathering takes every touched request through."""
