"""Compatibility with version 0.1.0: its stored data, messages, replies and settings.

The fixtures are described in `tests/fixtures/v0.1.0/README.md`. They identify messages and
their fields by number and errors by their public tag; they hold no names of classes or modules.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import json
import pathlib
import re
import shutil
import tempfile
import tomllib
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

import betterproto as bp
import typer
from typer.testing import CliRunner

from kelpstage.cli.main import app as operator_cli
from kelpstage.common.configuration.types import Configuration

# These imports and the next section hold all names of the product that this file uses.
from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.base import KelpstageError as RootError
from kelpstage.common.errors.validation import InvalidField
from kelpstage.common.http.replies import error_reply as error_reply
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.ports.live import live_ports
from kelpstage.common.recording.format import FILE_HEADER as DAY_HEAD
from kelpstage.common.recording.format import encode_row, read_recording
from kelpstage.common.settings.loading import CORE_SCHEMA, EDGE_SCHEMA, read_settings_file
from kelpstage.common.transport import frames
from kelpstage.common.transport.delta import apply_delta, pack_delta
from kelpstage.common.transport.messages import TYPES, GossipMsg, MemberMsg, StateDoc
from kelpstage.core.main import app as core_cli
from kelpstage.core.raft.members import read_members
from kelpstage.core.state.machine import Machine
from kelpstage.core.state.outcomes import (
    MembershipSet,
    PutApplied,
    PutDeltaMismatch,
    PutIdTaken,
    PutNotAbove,
    PutOutcomeUnknown,
    PutSuperseded,
)
from kelpstage.core.state.replicated_state import CoreState
from kelpstage.core.store.records import DiskSnapshot, DiskStep
from kelpstage.core.store.store import Store
from kelpstage.edge.forward.headers import HeaderNames
from kelpstage.edge.gossip.task import MAGIC as GOSSIP_MAGIC
from kelpstage.edge.main import app as edge_cli
from kelpstage.replay.main import app as replay_cli
from kelpstage.testbed.fleet.deployment import load as load_deployment
from kelpstage.testbed.simulation.fleet import SimFleet, run_sim
from kelpstage.testbed.stand_ins.backend import SENDER_HEADER, StandIn

FIXTURES = pathlib.Path(__file__).parent / "fixtures" / "v0.1.0"
PROJECT_FILE = pathlib.Path(__file__).parent.parent / "pyproject.toml"
DATA_FOLDERS = ("core-run", "core-steps")
NOOP, MEMBERSHIP, COMMAND = 0, 1, 2  # kinds of log entries, as stored in the files
ADDED_NUMBERS = {72, 73}  # of messages since the fixtures were made: versions of a service
CHANNELS = (0, 1, 2)
MIXED_LISTS = ("events", "records")  # lists in replies whose rows have different fields

COMMAND_LINES = {
    "kelpd": edge_cli,
    "kelpc": core_cli,
    "kelpctl": operator_cli,
    "kelprep": replay_cli,
}
SETTINGS_FORMS = {"edge": EDGE_SCHEMA, "core": CORE_SCHEMA}
ENCODED_MESSAGES = {"state": StateDoc, "snapshot": DiskSnapshot}
OUTCOMES = {
    PutApplied: "applied",
    PutSuperseded: "lost",
    PutNotAbove: "not above",
    PutIdTaken: "clash",
    PutOutcomeUnknown: "unclear",
    PutDeltaMismatch: "unreadable",
    MembershipSet: "roster set",
}

Json = dict[str, Any]


# --- access to the product -----------------------------------------------------------------


def load_json(*, name: str) -> Any:
    return json.loads((FIXTURES / name).read_text())


async def open_store(*, folder: pathlib.Path) -> tuple[Store, Any]:
    """Return the store of a data folder, and the data that it recovers."""
    store = Store(ports=live_ports(data_folder=str(folder)))
    identity = await store.read_identity()
    recovered = await store.recover(identity=identity)
    return store, recovered


def state_machine_of(*, recovered: Any) -> Machine:
    """Return the state machine as of the snapshot, before the entries of the log."""
    state = None
    if recovered.snapshot is not None:
        state = CoreState().parse(recovered.snapshot.state)
    return Machine(cluster=recovered.identity.cluster, state=state)


def contents_of(*, recovered: Any) -> Json:
    """Return all contents of a data folder, with every log entry applied."""
    machine = state_machine_of(recovered=recovered)
    entries = [entry_row(entry=entry, machine=machine) for entry in recovered.log.entries]
    return {
        "identity": fields_by_number(message=recovered.identity),
        "term": recovered.term,
        "vote": recovered.vote,
        "base_index": recovered.log.base_index,
        "base_term": recovered.log.base_term,
        "last_index": recovered.log.last_index,
        "last_term": recovered.log.last_term,
        "snapshot": fields_by_number(message=recovered.snapshot),
        "entries": entries,
        "state": fields_by_number(message=machine.state),
        "document_sha256": hashlib.sha256(machine.state.document).hexdigest(),
        "installed_by_edges": fields_by_number(message=machine.doc()),
    }


def entry_row(*, entry: Any, machine: Machine) -> Json:
    """Return a log entry and its effect: the new members, or the outcome of its command."""
    row: Json = {"entry": fields_by_number(message=entry)}
    if entry.kind == MEMBERSHIP:
        row["members"] = [fields_by_number(message=one) for one in read_members(data=entry.data)]
    if entry.kind == COMMAND:
        row["outcome"] = outcome_row(outcome=machine.apply(data=entry.data))
    return row


def outcome_row(*, outcome: Any) -> list[Any]:
    """Return the name of an outcome and its numbers in order; the text of a reason may change."""
    values = dataclasses.astuple(outcome)
    return [OUTCOMES[type(outcome)], *(one for one in values if not isinstance(one, str))]


def read_frame(*, data: bytes, channel: int) -> tuple[Any, Any]:
    """Return the header and the message of a frame."""
    header = frames.read_header(data=data[: frames.HEADER.size], channel=channel, address="a")
    return header, frames.read_body(header=header, data=data[frames.HEADER.size :], address="a")


def error_kinds() -> dict[str, type[RootError]]:
    """Return the error classes of the product by their public tag."""
    return {kind.__new__(kind).kind: kind for kind in leaf_classes(root=RootError)}


def settings_row(*, settings: Any) -> Any:
    """Return settings as JSON values."""
    return dataclasses.asdict(settings) if dataclasses.is_dataclass(settings) else settings


async def fetch(*, fleet: SimFleet, request: Json) -> HttpReply:
    """Send a request from the fixture to an edge or a core of the fleet."""
    name = sorted(fleet.core_address)[0]
    hosts = {
        "edge": fleet.edge_http[name],
        "core": fleet.core_http(name=name),
        "leader": fleet.core_http(name=fleet.leader()),
    }
    body = request.get("body", "").encode()
    if "configuration_note" in request:
        body = fleet.configuration(note=request["configuration_note"])
    return await fleet.outside.ports.net.fetch(
        call=HttpCall(
            method=request["method"],
            url=f"http://{hosts[request['to']]}{request['path']}",
            headers=request.get("headers", {}),
            body=body,
            wait_us=20_000_000,
        )
    )


# --- comparison without names ----------------------------------------------------------------


def field_number(field: dataclasses.Field) -> int:
    return bp.FieldMetadata.get(field).number


def fields_by_number(*, message: Any) -> Json:
    """Return the fields that differ from their defaults, by number."""
    fields = sorted(dataclasses.fields(message), key=field_number)
    values = {str(field_number(field)): getattr(message, field.name) for field in fields}
    return {number: to_json(value=value) for number, value in values.items() if is_set(value=value)}


def is_set(*, value: Any) -> bool:
    if isinstance(value, bp.Message):
        return bool(fields_by_number(message=value))
    return bool(value)


def to_json(*, value: Any) -> Any:
    """Return the value of a field as JSON; bytes are distinguished from text."""
    if isinstance(value, bp.Message):
        return fields_by_number(message=value)
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, list):
        return [to_json(value=one) for one in value]
    return value


def leaf_classes(*, root: type) -> Iterator[type]:
    """Yield the product's subclasses of a class that have no subclasses themselves."""
    subclasses = [kind for kind in root.__subclasses__() if kind.__module__.startswith("kelpstage")]
    for kind in subclasses:
        yield from leaf_classes(root=kind)
    if not subclasses:
        yield root


def options_of(*, app: typer.Typer) -> dict[str, Json]:
    """Return the parameters of each command; a program without subcommands has the command ""."""
    root = typer.main.get_command(app)
    commands = getattr(root, "commands", {"": root})
    return {name: parameters_of(command=command) for name, command in commands.items()}


def parameters_of(*, command: Any) -> Json:
    names = [name for parameter in command.params for name in parameter.opts]
    options = sorted(name for name in names if name.startswith("-"))
    return {"options": options, "arguments": len(names) - len(options)}


def reply_row(*, reply: HttpReply) -> Json:
    """Return the stable part of a reply: its status and the names of headers and JSON fields."""
    row: Json = {"status": reply.status, "headers": sorted(name.lower() for name in reply.headers)}
    body = json.loads(reply.body)
    row["fields"] = sorted(body)
    if reply.status != 200:
        error = body[row["fields"][0]]
        row["error"] = {"kind": error["kind"], "fields": sorted(error)}
        return row
    lists = {name: rows for name, rows in body.items() if name not in MIXED_LISTS}
    row["rows"] = {name: row_fields(rows=rows) for name, rows in lists.items() if is_rows(rows)}
    return row


def is_rows(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def row_fields(*, rows: list[Json]) -> list[str]:
    return sorted({name for row in rows for name in row})


def backend_call(*, call: HttpCall) -> Json:
    """Return the stable part of a backend request, without the names of shards and records."""
    path = re.sub(r"(shards|records)/[^/]+", r"\1/*", call.url)
    names = {name.lower() for name in call.headers} - {SENDER_HEADER.lower()}
    return {"method": call.method, "path": path, "headers": sorted(names)}


# --- tests -----------------------------------------------------------------------------------


class DataFolderCompatibility(unittest.TestCase):
    def copy_of(self, *, name: str) -> pathlib.Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return pathlib.Path(shutil.copytree(FIXTURES / name, pathlib.Path(folder.name) / "data"))

    def test_all_data_in_the_folder_is_read(self) -> None:
        for name in DATA_FOLDERS:
            with self.subTest(folder=name):
                _, recovered = asyncio.run(open_store(folder=self.copy_of(name=name)))
                expected = load_json(name=f"{name}.expected.json")
                self.assertEqual(expected, contents_of(recovered=recovered))

    def test_the_state_is_encoded_unchanged(self) -> None:
        for name in DATA_FOLDERS:
            with self.subTest(folder=name):
                _, recovered = asyncio.run(open_store(folder=self.copy_of(name=name)))
                state = recovered.snapshot.state
                self.assertEqual(state, bytes(CoreState().parse(state)))
                path = next((FIXTURES / name / "snapshots").iterdir())
                self.assertTrue(path.read_bytes().endswith(bytes(recovered.snapshot)))

    def test_a_repeated_write_gets_its_first_outcome(self) -> None:
        for name in DATA_FOLDERS:
            _, recovered = asyncio.run(open_store(folder=self.copy_of(name=name)))
            machine = state_machine_of(recovered=recovered)
            for entry in recovered.log.entries:
                if entry.kind == COMMAND:
                    machine.apply(data=entry.data)
            before = bytes(machine.state)
            rows = load_json(name="repeated-orders.json")[name]
            self.assertTrue(rows)
            for row in rows:
                with self.subTest(folder=name, order=row["order"]):
                    outcome = machine.apply(data=bytes.fromhex(row["command"]))
                    self.assertEqual(row["outcome"], outcome_row(outcome=outcome))
            self.assertEqual(before, bytes(machine.state))

    def test_the_current_configuration_is_still_valid(self) -> None:
        state = load_json(name="core-run.expected.json")["state"]
        document = bytes.fromhex(state["4"]["hex"])
        configuration = read_configuration(data=document, version=state["3"])
        self.assertIsInstance(configuration, Configuration)

    def test_the_folder_accepts_new_entries(self) -> None:
        for name in DATA_FOLDERS:
            with self.subTest(folder=name):
                folder = self.copy_of(name=name)
                expected = load_json(name=f"{name}.expected.json")
                before, after = asyncio.run(self.append_and_reopen(folder=folder))
                self.assertEqual(expected["last_index"] + 1, after.log.last_index)
                self.assertEqual((expected["term"] + 1, "v"), (after.term, after.vote))
                self.assertEqual(before.log.entries, after.log.entries[:-1])
                self.assertEqual(before.snapshot, after.snapshot)
                self.assertEqual(
                    expected["state"], contents_of(recovered=after)["state"]
                )  # the new entry is a no-op

    async def append_and_reopen(self, *, folder: pathlib.Path) -> tuple[Any, Any]:
        store, before = await open_store(folder=folder)
        term = before.term + 1
        entry = type(before.log.entries[-1])(index=before.log.last_index + 1, term=term, kind=NOOP)
        step = DiskStep(entries=[entry], has_vote=True, term=term, vote="v")
        self.assertIsNone(await store.append(steps=[step]))
        await store.mark_synced()
        _, after = await open_store(folder=folder)
        return before, after


class RecordingCompatibility(unittest.TestCase):
    def setUp(self) -> None:
        self.data = (FIXTURES / "day.kday").read_bytes()

    def test_rows_of_every_kind_are_decoded_and_encoded_unchanged(self) -> None:
        rows = load_json(name="day.expected.json")["rows"]
        kinds = {"begin", "call", "put", "fault", "listed", "result"}
        self.assertEqual(kinds, {row["what"] for row in rows})
        self.assertEqual(rows, read_recording(path="day", data=self.data))
        self.assertEqual(self.data, DAY_HEAD + b"".join(encode_row(row=row) for row in rows))

    def test_a_truncated_recording_is_read_up_to_its_last_complete_row(self) -> None:
        rows = load_json(name="day.expected.json")["rows"]
        truncated = self.data[:-1]
        self.assertEqual(
            rows[:-1], read_recording(path="day", data=truncated, allows_truncated_tail=True)
        )

    def test_the_output_of_show_is_unchanged(self) -> None:
        for name in ("day.kday", "results.kday"):
            with self.subTest(file=name):
                shown = CliRunner().invoke(replay_cli, ["show", str(FIXTURES / name)])
                self.assertEqual(0, shown.exit_code)
                expected = load_json(name="day.expected.json")["shown"][name]
                self.assertEqual(expected, json.loads(shown.stdout))


class WireCompatibility(unittest.TestCase):
    def test_message_numbers_are_unchanged(self) -> None:
        expected = {int(number) for number in load_json(name="frames.json")["frames"]}
        self.assertEqual(expected | ADDED_NUMBERS, set(TYPES))
        self.assertFalse(expected & ADDED_NUMBERS)

    def test_frames_are_decoded_and_encoded_unchanged(self) -> None:
        for number, row in load_json(name="frames.json")["frames"].items():
            with self.subTest(number=number):
                data = bytes.fromhex(row["hex"])
                header, message = read_frame(data=data, channel=row["lane"])
                self.assertIs(TYPES[int(number)], type(message))
                self.assertEqual(
                    (int(number), row["flag"], row["mark"]),
                    (header.number, header.flag, header.correlation_id),
                )
                self.assertEqual(row["fields"], fields_by_number(message=message))
                self.assertEqual(
                    data, frames.pack(message=message, flag=row["flag"], correlation_id=row["mark"])
                )

    def test_prefaces_are_unchanged(self) -> None:
        expected = load_json(name="frames.json")["prefaces"]
        self.assertEqual(expected, [frames.preface(channel=channel).hex() for channel in CHANNELS])

    def test_gossip_datagrams_are_decoded_and_encoded_unchanged(self) -> None:
        row = load_json(name="gossip.json")
        data = bytes.fromhex(row["hex"])
        self.assertTrue(data.startswith(GOSSIP_MAGIC))
        message = GossipMsg().parse(data[len(GOSSIP_MAGIC) :])
        self.assertEqual(row["fields"], fields_by_number(message=message))
        self.assertEqual(data, GOSSIP_MAGIC + bytes(message))
        for member in row["members"]:
            packed = bytes.fromhex(member["hex"])
            parsed = MemberMsg().parse(packed)
            self.assertEqual(member["fields"], fields_by_number(message=parsed))
            self.assertEqual(packed, bytes(parsed))

    def test_deltas_of_the_old_version_are_applied(self) -> None:
        """The encoder may produce other bytes for a delta, so these are not compared."""
        for row in load_json(name="deltas.json"):
            with self.subTest(case=row["case"]):
                base, target = bytes.fromhex(row["base"]), bytes.fromhex(row["whole"])
                delta = bytes.fromhex(row["delta"])
                self.assertEqual(target, apply_delta(base=base, delta=delta))
                again = pack_delta(base=base, target=target)
                self.assertEqual(target, apply_delta(base=base, delta=again))

    def test_chunked_values_are_decoded_and_encoded_unchanged(self) -> None:
        for name, row in load_json(name="chunks.json").items():
            with self.subTest(value=name):
                chunks = [
                    read_frame(data=bytes.fromhex(chunk), channel=frames.BULK)[1]
                    for chunk in row["frames"]
                ]
                packed = b"".join(chunk.data for chunk in chunks)
                self.assertEqual({hashlib.sha256(packed).digest()}, {one.digest for one in chunks})
                self.assertEqual({len(packed)}, {chunk.total for chunk in chunks})
                target = apply_delta(base=b"", delta=packed)
                message = ENCODED_MESSAGES[name]().parse(target)
                self.assertEqual(row["fields"], fields_by_number(message=message))
                self.assertEqual(target, bytes(message))


KINDS_ADDED_SINCE = (
    "caller_gone",
    "rollout_under_way",
    "unknown_rollout",
)  # added after 0.1.0; kinds are never removed


class ErrorCompatibility(unittest.TestCase):
    def test_error_kinds_are_unchanged(self) -> None:
        expected = [row["kind"] for row in load_json(name="errors.json")]
        self.assertEqual(sorted([*expected, *KINDS_ADDED_SINCE]), sorted(error_kinds()))

    def test_error_replies_are_unchanged(self) -> None:
        kinds = error_kinds()
        for row in load_json(name="errors.json"):
            with self.subTest(kind=row["kind"]):
                error = self.error_from(kind=kinds[row["kind"]], body=row["body"])
                reply = error_reply(error=error)
                self.assertEqual(row["status"], reply.status)
                self.assertEqual(row["retry_after"], reply.headers.get("Retry-After"))
                self.assertEqual(row["body"].encode(), reply.body)

    def error_from(self, *, kind: type[RootError], body: str) -> RootError:
        """Build an error from the values in its reply, which are in the order of its fields."""
        [values] = json.loads(body).values()
        del values["kind"]
        if "faults" in values:
            values["faults"] = [
                self.error_from(
                    kind=InvalidField, body=json.dumps({"error": {"kind": "fault", **one}})
                )
                for one in values["faults"]
            ]
        names = [field.name for field in dataclasses.fields(kind)]
        return kind(**dict(zip(names, values.values(), strict=True)))


# Membership fields added to replies of cores after 0.1.0; fields are never removed.
MEMBERSHIP_FIELDS_ADDED_SINCE = ("is_settled",)
EDGE_FIELDS_ADDED_SINCE = ("has_left", "is_voting")
EDGE_LISTS = {"/v1/roster": "edges", "/v1/status": "roster"}


def with_added_fields(*, row: Json) -> Json:
    """Return the expected reply: that of 0.1.0 with the fields added since."""
    reply = row["reply"]
    rows_name = EDGE_LISTS.get(row["request"]["path"])
    if rows_name is None or rows_name not in reply.get("rows", {}):
        return reply
    edge_fields = sorted([*reply["rows"][rows_name], *EDGE_FIELDS_ADDED_SINCE])
    return reply | {
        "fields": sorted([*reply["fields"], *MEMBERSHIP_FIELDS_ADDED_SINCE]),
        "rows": reply["rows"] | {rows_name: edge_fields},
    }


class HttpCompatibility(unittest.TestCase):
    def test_paths_headers_and_fields_are_unchanged(self) -> None:
        expected = load_json(name="http.json")
        replies: list[Json] = []
        backend_calls: list[Json] = []
        answer = StandIn.answer

        async def record_and_answer(backend: StandIn, call: HttpCall) -> Any:
            stable_part = backend_call(call=call)
            if stable_part not in backend_calls and "/shards/" in stable_part["path"]:
                backend_calls.append(stable_part)
            return await answer(backend, call)

        async def scenario(fleet: SimFleet) -> None:
            await fleet.bring_up()
            for row in expected["requests"]:
                replies.append(reply_row(reply=await fetch(fleet=fleet, request=row["request"])))

        with mock.patch.object(StandIn, "answer", record_and_answer):
            run_sim(seed=11, deployment=load_deployment(name="tiny"), scenario=scenario)
        for row, reply in zip(expected["requests"], replies, strict=True):
            request = row["request"]
            with self.subTest(to=request["to"], method=request["method"], path=request["path"]):
                self.assertEqual(with_added_fields(row=row), reply)
        self.assertCountEqual(expected["backend_calls"], backend_calls)


class SettingsCompatibility(unittest.TestCase):
    def test_settings_files_are_still_accepted(self) -> None:
        for program, form in SETTINGS_FORMS.items():
            for extent in ("full", "minimal"):
                with self.subTest(program=program, extent=extent):
                    name = f"settings-{program}-{extent}.json"
                    settings = read_settings_file(file=str(FIXTURES / name), flags={}, schema=form)
                    self.assertEqual(load_json(name=name), settings_row(settings=settings))

    def test_an_unknown_key_is_rejected_with_its_path(self) -> None:
        for program, form in SETTINGS_FORMS.items():
            with self.subTest(program=program):
                name = FIXTURES / f"settings-{program}-minimal.json"
                rejected = read_settings_file(file=str(name), flags={"no_such_key": 1}, schema=form)
                self.assertEqual(["no_such_key"], [fault.path for fault in rejected.faults])

    def test_keys_and_defaults_of_header_names_are_unchanged(self) -> None:
        expected = load_json(name="header-names.json")
        self.assertEqual(expected, dataclasses.asdict(HeaderNames()))

    def test_command_line_options_are_still_accepted(self) -> None:
        for program, commands in load_json(name="options.json").items():
            present = options_of(app=COMMAND_LINES[program])
            for command, expected in commands.items():
                with self.subTest(program=program, command=command):
                    missing = set(expected["options"]) - set(present[command]["options"])
                    self.assertEqual(set(), missing)
                    self.assertEqual(expected["arguments"], present[command]["arguments"])

    def test_program_names_are_unchanged(self) -> None:
        scripts = tomllib.loads(PROJECT_FILE.read_text())["project"]["scripts"]
        self.assertEqual(set(), set(COMMAND_LINES) - set(scripts))
