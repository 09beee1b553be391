"""The stages that each run of the gathering task applies to every touched request."""
