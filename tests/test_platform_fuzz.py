"""The platform's list and settings with malformed bytes: a typed failure, or what can be
used, hashed and sent on; never an exception, which would end the process."""

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
from kelpstage.edge.backend.address_poll import read_list
from kelpstage.edge.backend.instance import digest_of, instance_of, message_of
from tests.test_platform import FIELDS, load

ROW = {
    "InstanceId": "i-1",
    "Service": "s",
    "Address": "10.0.0.1:80",
    "ZoneName": "z",
    "Revision": "v1",
    "Capacity": 2,
    "Condition": "ready",
    "ColdLeftMs": 0,
}
DEEP = b"[" * 200_000
ODD: tuple[Any, ...] = (
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


class ListFuzz(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = load("backend_list").BackendList(address="127.0.0.1:1")

    def read(self, body: bytes) -> int:
        """How many entries are taken; each must stand all that is done with it."""
        got = self.reader.read_page(HttpReply(status=200, body=body))
        if isinstance(got, KelpstageError):
            return -1
        instances, _ = got
        digest_of(instances=instances)
        for instance in instances:
            message = message_of(instance=instance, cold_us=instance.cold_us)
            self.assertEqual(instance, instance_of(message=InstanceMsg().parse(bytes(message))))
        return len(instances)

    def test_odd_values_in_each_field(self) -> None:
        for name in ROW:
            for odd in ODD:
                with self.subTest(name=name, odd=str(odd)[:20]):
                    rows = [{**ROW, name: odd}, {**ROW, "InstanceId": "i-2"}]
                    body = json.dumps({"InstanceList": rows, "NextToken": None}).encode()
                    self.assertIn(self.read(body), (1, 2))

    def test_nested_without_end(self) -> None:
        self.assertEqual(-1, self.read(DEEP))
        self.assertEqual(-1, self.read(b'{"InstanceList":' + DEEP))
        self.assertIsNone(read_list(body=DEEP))

    def test_bytes_changed(self) -> None:
        rand = random.Random(4)
        whole = json.dumps({"InstanceList": [ROW] * 3, "NextToken": "p"}).encode()
        for _ in range(3_000):
            data = bytearray(whole)
            for _ in range(rand.randrange(1, 4)):
                data[rand.randrange(len(data))] = rand.randrange(256)
            self.assertLessEqual(self.read(bytes(data[: rand.randrange(len(data) + 1)])), 3)
            self.assertLessEqual(self.read(bytes(data)), 3)


class SettingsFuzz(unittest.TestCase):
    """A settings file is read again while the process runs: whatever stands in it, reading
    ends well or with the exit code for bad settings, which the watcher holds."""

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

    def test_odd_values_in_each_field(self) -> None:
        for program in ("edge", "core"):
            for path in paths_of(value=FIELDS):
                for odd in (*ODD, {"a": {}}, [1, 2], ["a"]):
                    fields = copy.deepcopy(FIELDS)
                    put(value=fields, path=path, new=odd)
                    got = self.read(program=program, text=json.dumps(fields))
                    self.assertIn(got, ("read", "exit 2"), f"{path}: {str(odd)[:20]}")

    def test_bytes_changed_and_nested_without_end(self) -> None:
        rand = random.Random(2)
        whole = json.dumps(FIELDS)
        seen: Counter = Counter()
        for _ in range(300):
            text = list(whole)
            for _ in range(rand.randrange(1, 4)):
                text[rand.randrange(len(text))] = chr(rand.randrange(32, 127))
            seen[self.read(program="edge", text="".join(text))] += 1
        self.assertEqual({"read", "exit 2"}, set(seen))
        self.assertEqual("exit 2", self.read(program="edge", text=DEEP.decode()))


def paths_of(*, value: Any, path: tuple = ()) -> list[tuple]:
    """Every place in nested tables."""
    out = [path] if path else []
    if isinstance(value, dict):
        for name, inner in value.items():
            out += paths_of(value=inner, path=(*path, name))
    return out


def put(*, value: Any, path: tuple, new: Any) -> None:
    """Replace what stands at a place."""
    for name in path[:-1]:
        value = value[name]
    value[path[-1]] = new


if __name__ == "__main__":
    unittest.main()
