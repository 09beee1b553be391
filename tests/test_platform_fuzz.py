"""Fuzz tests of the platform's endpoint list and of settings files.

Malformed input results in a typed error or in values that can be hashed and sent, but never in
an exception, which would end the process.
"""

from __future__ import annotations

import copy
import io
import json
import os
import random
import tempfile
import unittest
from collections import Counter
from contextlib import redirect_stderr
from pathlib import Path
from typing import Any
from unittest import mock

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.ports.interfaces import HttpReply
from kelpstage.common.transport.messages import InstanceMsg
from kelpstage.edge.backend.address_poll import parse_list
from kelpstage.edge.backend.instance import digest_of, instance_of, message_of
from tests.test_platform import FIELDS, load

ENTRY = {
    "InstanceId": "i-1",
    "Service": "s",
    "Address": "10.0.0.1:80",
    "ZoneName": "z",
    "Revision": "v1",
    "Capacity": 2,
    "Condition": "ready",
    "ColdLeftMs": 0,
}
DEEPLY_NESTED = b"[" * 200_000
UNUSUAL_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    2**70,
    10**300,
    1e308,
    float("inf"),
    float("nan"),
    "",
    "\ud800",
    "\0",
    "a\r\nb",
    "x" * 100_000,
    [],
    {},
    [[]],
    "1e999",
)


class EndpointListFuzz(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = load("backend_list").BackendList(address="127.0.0.1:1")

    def read(self, body: bytes) -> int:
        """Return the number of parsed entries; each can be hashed, encoded and decoded."""
        got = self.reader.read_page(HttpReply(status=200, body=body))
        if isinstance(got, KelpstageError):
            return -1
        instances, _ = got
        digest_of(instances=instances)
        for instance in instances:
            message = message_of(instance=instance, cold_us=instance.cold_us)
            self.assertEqual(instance, instance_of(message=InstanceMsg().parse(bytes(message))))
        return len(instances)

    def test_unusual_values_in_each_field(self) -> None:
        for name in ENTRY:
            for value in UNUSUAL_VALUES:
                with self.subTest(name=name, value=str(value)[:20]):
                    rows = [{**ENTRY, name: value}, {**ENTRY, "InstanceId": "i-2"}]
                    body = json.dumps({"InstanceList": rows, "NextToken": None}).encode()
                    self.assertIn(self.read(body), (1, 2))

    def test_deep_nesting(self) -> None:
        self.assertEqual(-1, self.read(DEEPLY_NESTED))
        self.assertEqual(-1, self.read(b'{"InstanceList":' + DEEPLY_NESTED))
        self.assertIsNone(parse_list(body=DEEPLY_NESTED))

    def test_random_edits_of_bytes(self) -> None:
        rand = random.Random(4)
        whole = json.dumps({"InstanceList": [ENTRY] * 3, "NextToken": "p"}).encode()
        for _ in range(3_000):
            data = bytearray(whole)
            for _ in range(rand.randrange(1, 4)):
                data[rand.randrange(len(data))] = rand.randrange(256)
            self.assertLessEqual(self.read(bytes(data[: rand.randrange(len(data) + 1)])), 3)
            self.assertLessEqual(self.read(bytes(data)), 3)


class SettingsFileFuzz(unittest.TestCase):
    """A settings file is reloaded while the process runs. Whatever it contains, reading succeeds
    or ends with the exit code for invalid settings, which the file watcher handles."""

    def read(self, *, program: str, text: str) -> str:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "local.conf")
            file.write_text(text, encoding="utf-8", errors="surrogatepass")
            with (
                mock.patch.dict(os.environ, KELPSTAGE_SETTINGS=str(file)),
                redirect_stderr(io.StringIO()),
            ):
                try:
                    load(program).read()
                except SystemExit as end:
                    return f"exit {end.code}"
        return "read"

    def test_unusual_values_in_each_field(self) -> None:
        for program in ("edge", "core"):
            for path in paths_of(value=FIELDS):
                for value in (*UNUSUAL_VALUES, {"a": {}}, [1, 2], ["a"]):
                    fields = copy.deepcopy(FIELDS)
                    set_at(value=fields, path=path, new=value)
                    got = self.read(program=program, text=json.dumps(fields))
                    self.assertIn(got, ("read", "exit 2"), f"{path}: {str(value)[:20]}")

    def test_random_edits_and_deep_nesting(self) -> None:
        rand = random.Random(2)
        whole = json.dumps(FIELDS)
        seen: Counter = Counter()
        for _ in range(300):
            text = list(whole)
            for _ in range(rand.randrange(1, 4)):
                text[rand.randrange(len(text))] = chr(rand.randrange(32, 127))
            seen[self.read(program="edge", text="".join(text))] += 1
        self.assertEqual({"read", "exit 2"}, set(seen))
        self.assertEqual("exit 2", self.read(program="edge", text=DEEPLY_NESTED.decode()))


def paths_of(*, value: Any, path: tuple = ()) -> list[tuple]:
    """Return the path of each key in nested dictionaries."""
    out = [path] if path else []
    if isinstance(value, dict):
        for name, inner in value.items():
            out += paths_of(value=inner, path=(*path, name))
    return out


def set_at(*, value: Any, path: tuple, new: Any) -> None:
    """Replace the value at a path."""
    for name in path[:-1]:
        value = value[name]
    value[path[-1]] = new


if __name__ == "__main__":
    unittest.main()
