"""Figures of hollow fleets as CSV, as straight lines with their errors, as a plot."""

from __future__ import annotations

import csv
import json
import math
from dataclasses import dataclass
from typing import Any

FITTED = (
    "edge_cpu",
    "edge_bytes",
    "edge_far_bytes",
    "node_kb",
    "leader_cpu",
    "leader_bytes",
    "core_cpu",
)


@dataclass(frozen=True, kw_only=True)
class Line:
    """`at_zero + slope * n`, the standard error of the slope, and the worst residual."""

    at_zero: float
    slope: float
    slope_error: float
    worst: float

    def at(self, *, n: float) -> float:
        """The value of the fitted line at `n`."""
        return self.at_zero + self.slope * n


def fit(*, points: list[tuple[float, float]]) -> Line | None:
    """A straight line by least squares; none through fewer than three points.

    >>> line = fit(points=[(1, 3.0), (2, 5.0), (3, 7.0), (4, 9.0)])
    >>> round(line.at_zero, 6), round(line.slope, 6), round(line.slope_error, 6)
    (1.0, 2.0, 0.0)
    >>> round(line.at(n=10), 6)
    21.0
    >>> fit(points=[(1, 1.0), (2, 2.0)]) is None
    True
    """
    count = len(points)
    if count < 3:
        return None
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return None
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    at_zero = mean_y - slope * mean_x
    rests = [y - at_zero - slope * x for x, y in points]
    error = math.sqrt(sum(rest**2 for rest in rests) / (count - 2) / spread)
    return Line(
        at_zero=at_zero, slope=slope, slope_error=error, worst=max(abs(rest) for rest in rests)
    )


def lines_of(*, rows: list[dict[str, Any]], by: str = "nodes") -> dict[str, Line]:
    """The fitted lines of what is fitted, by nodes or by backends."""
    out = {}
    for name in FITTED:
        line = fit(points=[(row[by], row[name]) for row in rows if name in row])
        if line is not None:
            out[name] = line
    return out


def as_text(*, rows: list[dict[str, Any]]) -> str:
    """Rows as JSON lines, then the fitted lines."""
    out = [json.dumps(row) for row in rows]
    for name, line in lines_of(rows=rows).items():
        out.append(
            f"{name} = {line.at_zero:.5g} + {line.slope:.4g} (+- {line.slope_error:.2g}) * nodes, "
            f"worst rest {line.worst:.2g}"
        )
    return "\n".join(out)


def write_csv(*, path: str, rows: list[dict[str, Any]]) -> None:
    """One line a run; what is a list (median, 99 in 100, worst) takes three columns."""
    flat = [_flat(row=row) for row in rows]
    names = list(dict.fromkeys(name for row in flat for name in row))
    with open(path, "w", encoding="utf-8", newline="") as file:
        writer = csv.DictWriter(file, fieldnames=names)
        writer.writeheader()
        writer.writerows(flat)


def _flat(*, row: dict[str, Any]) -> dict[str, Any]:
    """
    >>> _flat(row={"nodes": 5, "dead_s": [1, 2, 3]})
    {'nodes': 5, 'dead_s_median': 1, 'dead_s_99': 2, 'dead_s_worst': 3}
    """
    out: dict[str, Any] = {}
    for name, value in row.items():
        if isinstance(value, list):
            out |= {
                f"{name}_{part}": v
                for part, v in zip(("median", "99", "worst"), value, strict=True)
            }
        else:
            out[name] = value
    return out


def can_plot() -> bool:
    """Is the library for plots installed (the extra `plot`)?"""
    try:
        import matplotlib  # noqa: F401
    except ImportError:
        return False
    return True


def write_plot(*, path: str, rows: list[dict[str, Any]]) -> None:
    """Each fitted figure over the number of nodes, with its line."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = sorted(rows, key=lambda row: row["nodes"])
    lines = lines_of(rows=rows)
    figure, axes = pyplot.subplots(2, 4, figsize=(16, 7))
    for axis, name in zip(axes.flat, FITTED, strict=True):
        xs = [row["nodes"] for row in rows]
        axis.plot(xs, [row[name] for row in rows], "o")
        if name in lines:
            axis.plot(xs, [lines[name].at(n=x) for x in xs])
        axis.set_title(name)
        axis.set_xlabel("nodes")
        axis.set_ylim(bottom=0)
    axes.flat[-1].axis("off")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
