"""The operators' HTTP interface of a core."""
