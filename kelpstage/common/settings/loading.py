"""Settings of a process: a JSON file, flags over it, judged whole by trafaret."""

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


def _url(value: Any) -> Any:
    is_good = isinstance(value, str) and value.startswith("http://")
    return value if is_good else t.DataError("value is not an http:// address", value=value)


def _seeds(value: Any) -> Any:
    if len(set(value)) != len(value):
        return t.DataError("a seed stands twice", value=value)
    return value


URL = t.Call(_url)
SEEDS = t.List(ADDRESS, min_length=1, max_length=9) & t.Call(_seeds)
MICROS = t.Int(gte=0)
BOUNDS = t.Dict(
    {
        t.Key(name, optional=True): MICROS
        for name in (
            "drain_us",
            "apply_us",
            "revert_us",
            "touch_us",
            "grace_us",
            "recovery_us",
            "retry_window_us",
        )
    }
    | {
        t.Key("retry_ratio", optional=True): t.Float(gte=0, lte=1),
        t.Key("retry_slack", optional=True): t.Int(gte=0),
        t.Key("tolerance", optional=True): t.Int(gte=0),
        t.Key("is_first_start", optional=True): t.Bool(),
        t.Key("zones", optional=True): t.Mapping(NAME, NAME),
        t.Key("region", optional=True): t.String(allow_blank=True),
    }
)
LIST = t.Dict(
    {
        t.Key("address"): ADDRESS,
        t.Key("calls_per_s", optional=True): t.Float(gt=0),
        t.Key("lag_us", optional=True): MICROS,
    }
)
EDGE_FORM = t.Dict(
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
        t.Key("list", optional=True): LIST,
        t.Key("metrics", optional=True): ADDRESS,
        t.Key("observer", optional=True): t.Bool(),
        t.Key("bounds", optional=True): BOUNDS,
    }
)
CORE_FORM = t.Dict(
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


def validate_settings(*, raw: Any, form: t.Trafaret) -> dict | InvalidSettingsError:
    """Validate settings; every fault is named with its path.

    >>> validate_settings(raw={"name": "n"}, form=EDGE_FORM).faults[0].path
    'domain'
    """
    try:
        settings = form.check(raw)
    except t.DataError as error:
        return InvalidSettingsError(faults=flatten_errors(error=error))
    faults = validate_bounds(settings=settings)
    return InvalidSettingsError(faults=faults) if faults else settings


def read_settings_file(
    *, file: str | None, flags: dict, form: t.Trafaret
) -> dict | InvalidSettingsError:
    """Settings from a file, with the flags that were given laid over it.

    >>> read_settings_file(file="/nowhere", flags={}, form=CORE_FORM).faults[0].path
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
    return validate_settings(raw={**raw, **given}, form=form)


def settings_or_exit(*, outcome: dict | InvalidSettingsError) -> dict:
    """The settings, or every fault on stderr and exit code 2.

    >>> settings_or_exit(outcome={"a": 1})
    {'a': 1}
    """
    if not isinstance(outcome, InvalidSettingsError):
        return outcome
    for fault in outcome.faults:
        print(f"setting {fault.path}: {fault.why}", file=sys.stderr)
    raise SystemExit(2)
