"""Tests of `kelpctl top`: rates and quantiles, restarts, unreachable processes."""

from __future__ import annotations

import unittest

from typer.testing import CliRunner

from kelpstage.cli.commands.top import _page
from kelpstage.cli.main import app
from kelpstage.cli.views.top import EDGE_HEADS, edge_row
from kelpstage.common.metrics.reading import ScrapePair, parse_scrape


def edge_metrics(*, requests: int, slow: int, retries: int) -> str:
    """Returns metrics of an edge after requests of up to 100 ms and a number of slow ones."""
    total = requests + slow
    return f"""
# TYPE kelpstage_requests counter
kelpstage_requests_total{{kind="root",route="r",outcome="complete"}} {total}
kelpstage_requests_total{{kind="child",route="r",outcome="answered"}} 999
# TYPE kelpstage_stage_duration_seconds histogram
kelpstage_stage_duration_seconds_bucket{{le="0.1",stage="root"}} {requests}
kelpstage_stage_duration_seconds_bucket{{le="0.5",stage="root"}} {total}
kelpstage_stage_duration_seconds_bucket{{le="+Inf",stage="root"}} {total}
kelpstage_attempts_total{{reason="first"}} {8 * total}
kelpstage_attempts_total{{reason="retry"}} {retries}
kelpstage_ready 1
kelpstage_epoch 7
kelpstage_event_loop_lag_seconds 0.004
"""


CORE_METRICS = """
kelpstage_raft_role{role="leader"} 1
kelpstage_raft_role{role="follower"} 0
kelpstage_raft_term 3
kelpstage_raft_lag_entries{step="commit"} 2
kelpstage_raft_lag_entries{step="apply"} 1
"""


class TopPageTest(unittest.TestCase):
    def row(self, before: str, after: str) -> dict[str, object]:
        between = ScrapePair(
            before=parse_scrape(text=before, at_s=10.0), after=parse_scrape(text=after, at_s=12.0)
        )
        return dict(zip(EDGE_HEADS, edge_row(address="a:1", between=between), strict=True))

    def test_rates_and_quantiles_cover_the_interval_between_scrapes(self) -> None:
        row = self.row(
            edge_metrics(requests=1_000, slow=500, retries=0),
            edge_metrics(requests=1_090, slow=510, retries=80),
        )
        self.assertEqual("50.0", row["req/s"])
        self.assertEqual(("100", "500"), (row["p50 ms"], row["p99 ms"]))
        self.assertEqual("9.1%", row["retries"])
        self.assertEqual(("yes", 7, "4.0"), (row["ready"], row["epoch"], row["lag ms"]))

    def test_restarted_process_has_no_negative_rates(self) -> None:
        row = self.row(
            edge_metrics(requests=1_000, slow=0, retries=50),
            edge_metrics(requests=3, slow=0, retries=0),
        )
        self.assertEqual(("0.0", "-"), (row["req/s"], row["p50 ms"]))

    def test_page_shows_cores_edges_and_unreachable_addresses(self) -> None:
        scrapes = {
            "e:1": parse_scrape(text=edge_metrics(requests=1, slow=0, retries=0), at_s=1.0),
            "c:1": parse_scrape(text=CORE_METRICS, at_s=1.0),
        }
        text = _page(before=scrapes, after=scrapes, cores=["c:1"], edges=["e:1", "e:2"])
        self.assertRegex(text, r"c:1 +leader +3 ")
        self.assertRegex(text, r"e:1 +yes ")
        self.assertTrue(text.endswith("no answer from e:2"))


class TopCommandTest(unittest.TestCase):
    def test_address_is_required(self) -> None:
        self.assertEqual(2, CliRunner().invoke(app, ["top"]).exit_code)

    def test_unreachable_address(self) -> None:
        result = CliRunner().invoke(
            app, ["top", "--edge", "127.0.0.1:9", "--every", "0.2", "--count", "1"]
        )
        self.assertEqual(4, result.exit_code)
        self.assertIn("no answer from 127.0.0.1:9", result.output)


if __name__ == "__main__":
    unittest.main()
