"""Words that were withdrawn from the code and its pages do not come back."""

from __future__ import annotations

import pathlib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("kelpstage", "platform", "proof", "tests", "docs", "deploy")
ENDINGS = {".py", ".md", ".json", ".toml", ".sh"}
# In two parts, so that this page does not hold them itself.
WITHDRAWN = ("blue" + "print", "cap" + "ture", "pros" + "pect", "Follow" + "(")


def pages() -> list[pathlib.Path]:
    """Every text of the project; not the journal, whose entries stay as written."""
    found = [path for folder in FOLDERS for path in (ROOT / folder).rglob("*")]
    return [ROOT / "README.md", *(path for path in found if path.suffix in ENDINGS)]


class Names(unittest.TestCase):
    def test_withdrawn_words_stay_away(self) -> None:
        texts = {path: path.read_text(encoding="utf-8") for path in pages()}
        self.assertGreater(len(texts), 200)
        for word in WITHDRAWN:
            with self.subTest(word=word):
                found = [
                    str(path.relative_to(ROOT))
                    for path, text in texts.items()
                    if word in text or word.capitalize() in text
                ]
                self.assertEqual([], found)
