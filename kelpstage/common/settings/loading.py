"""Loads the settings of a process from a JSON file and flags, and validates them with trafaret.

Flags override the file.
"""

from __future__ import annotations

import sys
from typing import Any

import trafaret as t

from kelpstage.common.configuration.validation import ADDRESS, NAME, flatten_errors, load_json
from kelpstage.common.errors.validation import (
    InvalidConfigurationError,
    InvalidField,
    InvalidSettingsError,
)
from kelpstage.common.settings.bounds import validate_bounds


def _check_url(value: Any) -> Any:
    is_valid = isinstance(value, str) and value.startswith("http://")
    return value if is_valid else t.DataError("value is not an http:// address", value=value)


def _check_unique_seeds(value: Any) -> Any:
    if len(set(value)) != len(value):
        return t.DataError("duplicate seed", value=value)
    return value


URL = t.Call(_check_url)
SEEDS = t.List(ADDRESS, min_length=1, max_length=9) & t.Call(_check_unique_seeds)
MICROSECONDS = t.Int(gte=0)
BOUNDS = t.Dict(
    {
        t.Key(name, optional=True): MICROSECONDS
        for name in (
            "drain_us",
            "apply_us",
            "revert_us",
            "touch_us",
            "grace_us",
            "ack_within_us",
            "recovery_us",
            "retry_window_us",
        )
    }
    | {
        t.Key("retry_ratio", optional=True): t.Float(gte=0, lte=1),
        t.Key("bad_traffic_share", optional=True): t.Float(gte=0, lte=1),
        t.Key("retry_slack", optional=True): t.Int(gte=0),
        t.Key("tolerance", optional=True): t.Int(gte=0),
        t.Key("is_first_start", optional=True): t.Bool(),
        t.Key("zones", optional=True): t.Mapping(NAME, NAME),
        t.Key("region", optional=True): t.String(allow_blank=True),
    }
)
ENDPOINT_LIST = t.Dict(
    {
        t.Key("address"): ADDRESS,
        t.Key("calls_per_s", optional=True): t.Float(gt=0),
        t.Key("lag_us", optional=True): MICROSECONDS,
    }
)
EDGE_SCHEMA = t.Dict(
    {
        t.Key("name"): NAME,
        t.Key("domain"): NAME,
        t.Key("own"): ADDRESS,
        t.Key("http"): ADDRESS,
        t.Key("seeds"): SEEDS,
        t.Key("platform", optional=True): URL,
        t.Key("record", optional=True): t.String(allow_blank=False),
        t.Key("front", optional=True): ADDRESS,
        t.Key("header_names", optional=True): t.Mapping(t.String(), t.String(allow_blank=False)),
        t.Key("list", optional=True): ENDPOINT_LIST,
        t.Key("metrics", optional=True): ADDRESS,
        t.Key("observer", optional=True): t.Bool(),
        t.Key("bounds", optional=True): BOUNDS,
    }
)
CORE_SCHEMA = t.Dict(
    {
        t.Key("domain"): NAME,
        t.Key("own"): ADDRESS,
        t.Key("http"): ADDRESS,
        t.Key("seeds"): SEEDS,
        t.Key("data"): t.String(allow_blank=False),
        t.Key("voters", optional=True): t.Int(gte=1, lte=9),
        t.Key("metrics", optional=True): ADDRESS,
        t.Key("bounds", optional=True): BOUNDS,
    }
)


def validate_settings(*, raw: Any, schema: t.Trafaret) -> dict | InvalidSettingsError:
    """Validates settings and reports every error with its path.

    >>> validate_settings(raw={"name": "n"}, schema=EDGE_SCHEMA).faults[0].path
    'domain'
    """
    try:
        settings = schema.check(raw)
    except t.DataError as error:
        return InvalidSettingsError(faults=flatten_errors(error=error))
    faults = validate_bounds(settings=settings)
    return InvalidSettingsError(faults=faults) if faults else settings


def read_settings_file(
    *, file: str | None, flags: dict, schema: t.Trafaret
) -> dict | InvalidSettingsError:
    """Reads settings from a file; flags that are given override it.

    >>> read_settings_file(file="/nowhere", flags={}, schema=CORE_SCHEMA).faults[0].path
    '/nowhere'
    """
    raw: Any = {}
    if file is not None:
        try:
            with open(file, "rb") as handle:
                raw = load_json(data=handle.read())
        except OSError as error:
            return InvalidSettingsError(
                faults=[InvalidField(path=file, why=error.strerror or "unreadable")]
            )
        if isinstance(raw, InvalidConfigurationError):
            return InvalidSettingsError(faults=[InvalidField(path=file, why=raw.faults[0].why)])
        if not isinstance(raw, dict):
            return InvalidSettingsError(faults=[InvalidField(path=file, why="not a JSON object")])
    given = {name: value for name, value in flags.items() if value not in (None, [], ())}
    return validate_settings(raw={**raw, **given}, schema=schema)


def settings_or_exit(*, outcome: dict | InvalidSettingsError) -> dict:
    """Returns valid settings; otherwise prints every error to stderr and exits with code 2.

    >>> settings_or_exit(outcome={"a": 1})
    {'a': 1}
    """
    if not isinstance(outcome, InvalidSettingsError):
        return outcome
    for fault in outcome.faults:
        print(f"setting {fault.path}: {fault.why}", file=sys.stderr)
    raise SystemExit(2)
