"""The platform's rules, each with its checker."""
