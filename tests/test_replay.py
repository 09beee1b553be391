"""Recordings: written by an edge, read back, replayed and compared."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from kelpstage.common.errors.storage import InvalidRecordingError, TruncatedRecordingError
from kelpstage.common.recording.format import FILE_HEADER, encode_row, read_recording
from kelpstage.replay.main import diff, load, run_day, save, show
from kelpstage.testbed.fleet.deployment import load as load_deployment
from kelpstage.testbed.fleet.record import recording_of
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim


def record_requests(*, seed: int) -> list[dict]:
    """Returns a recording of a few seconds of requests on a simulated fleet."""

    async def scenario(fleet: SimFleet) -> None:
        await fleet.bring_up()
        fleet.history.clear()
        fleet.start_callers()
        await fleet.sleep(us=3_000_000)
        await fleet.drain_callers()

    fleet = run_sim(seed=seed, deployment=load_deployment(name="tiny"), scenario=scenario)
    return recording_of(history=fleet.history)


def run_command(command, **arguments: object) -> tuple[int, str, str]:
    """Runs a command in this process; returns its exit code, stdout and stderr."""
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            command(**arguments)
        except SystemExit as end:
            code = int(end.code or 0)
    return code, out.getvalue(), err.getvalue()


class RecordingFiles(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def path(self, name: str) -> str:
        return str(self.folder / name)

    def test_truncated_damaged_and_foreign_files_are_reported_with_the_offset(self) -> None:
        rows = [{"what": "call", "at_us": n, "path": "/p"} for n in range(5)]
        data = FILE_HEADER + b"".join(encode_row(row=row) for row in rows)
        for size in range(len(FILE_HEADER), len(data)):
            outcome = read_recording(path="p", data=data[:size])
            if isinstance(outcome, list):
                continue
            self.assertIsInstance(outcome, TruncatedRecordingError)
            whole = read_recording(path="p", data=data[:size], allows_truncated_tail=True)
            self.assertEqual(rows[: len(whole)], whole)
        damaged_data = bytearray(data)
        damaged_data[len(FILE_HEADER) + 20] ^= 1
        damaged = read_recording(path="p", data=bytes(damaged_data), allows_truncated_tail=True)
        self.assertEqual((InvalidRecordingError, len(FILE_HEADER)), (type(damaged), damaged.offset))
        (self.folder / "x").write_bytes(b"junk")
        code, out, err = run_command(show, day=self.path("x"), torn_tail=False)
        self.assertEqual((2, ""), (code, out))
        self.assertIn("day_foreign", err)
        self.assertIn("offset 0", err)
        self.assertEqual(2, run_command(show, day=self.path("nowhere"), torn_tail=False)[0])

    def test_replays_are_deterministic_and_a_fault_changes_the_result(self) -> None:
        rows = record_requests(seed=3)
        save(path=self.path("day"), rows=rows)
        self.assertEqual(rows, load(path=self.path("day"), allows_truncated_tail=False))
        common = {"edge": None, "core": None, "sim": "tiny", "speed": 1.0, "torn_tail": False}
        for name, seed in (("a", 1), ("b", 1)):
            code, out, err = run_command(
                run_day, day=self.path("day"), out=self.path(name), seed=seed, **common
            )
            self.assertEqual((0, ""), (code, err))
        self.assertEqual((self.folder / "a").read_bytes(), (self.folder / "b").read_bytes())
        code, out, _ = run_command(diff, a=self.path("a"), b=self.path("b"))
        self.assertEqual((0, 0), (code, json.loads(out)["changed_count"]))
        faulty = [{"what": "fault", "name": "many_dark", "at_us": 0}, *rows]
        save(path=self.path("day2"), rows=faulty)
        run_command(run_day, day=self.path("day2"), out=self.path("c"), seed=1, **common)
        code, out, _ = run_command(diff, a=self.path("a"), b=self.path("c"))
        self.assertEqual(1, code)
        self.assertGreater(json.loads(out)["changed_count"], 0)

    def test_bad_input_writes_no_file(self) -> None:
        save(path=self.path("day"), rows=[{"what": "begin", "at_us": 0}])
        code, _, err = run_command(
            run_day,
            day=self.path("day"),
            out=self.path("out"),
            edge=["nowhere"],
            core=None,
            sim=None,
            seed=1,
            speed=1.0,
            torn_tail=False,
        )
        self.assertEqual(2, code)
        self.assertIn("IP:port", err)
        self.assertFalse((self.folder / "out").exists())
        self.assertEqual(2, run_command(diff, a=self.path("day"), b=self.path("day"))[0])


class RecordingOnEdge(unittest.TestCase):
    def test_an_edge_records_requests_and_serves_them_while_its_disk_is_full(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            edge = fleet.daemons["edge/node-04"]
            from kelpstage.common.recording.writer import RecordingWriter

            edge.recording_writer = RecordingWriter(
                ports=edge.ports, path="d.day", counts=edge.counts
            )
            platter = fleet.world.machines["node-04"].disk_image
            platter.is_full = True
            fleet.start_callers()
            await fleet.sleep(us=2_000_000)
            self.assertGreater(edge.counts["day_writes_failed"], 0)
            platter.is_full = False
            await fleet.sleep(us=2_000_000)
            await fleet.drain_callers()
            await edge.recording_writer.flush()
            rows = read_recording(path="d", data=platter.files["d.day"].data)
            calls = [r for r in fleet.history if r["event"] == "call" and r["node"] == "node-04"]
            self.assertEqual(len(calls), sum(r["what"] == "call" for r in rows))
            self.assertTrue(all(r["end"] == "ok" for r in calls))

        run_sim(seed=4, deployment=load_deployment(name="tiny"), scenario=scenario)
