"""Guards against error messages that do not say which setting to change."""

import os
import tempfile

import testtools

from tests.support import console

GOOD = """\
node: {name: node-1, failure_domain: sapporo-a}
log: {url: "http://127.0.0.1:8100"}
vm_list: {url: "http://127.0.0.1:8200"}
"""


class TestSettingsValidate(testtools.TestCase):
    def validate(self, text):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = os.path.join(folder, "node.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        code, _, err = console.run("settings", "validate", path)
        if code:
            self.assertIn(path, err)
        return code, err

    def test_valid_settings(self):
        self.assertEqual((0, ""), self.validate(GOOD))

    def test_errors_name_key_and_expected_value(self):
        for text, parts in (
            (GOOD + "log: {}\n", ("duplicate key 'log'", "line 4", "once")),
            (GOOD + "limits: {max_body: 1}\n", ("limits:", "max_body_bytes")),
            (
                GOOD + "limits: {max_body_bytes: 1}\n",
                ("limits.max_body_bytes", "minimum 1024, found 1"),
            ),
            (GOOD.replace("name: node-1, ", ""), ("node:", "keys name")),
            (GOOD + "---\nnode: {}\n", ("expected one document, found 2",)),
            ("node: 2020-13-45\n", ("",)),
            ("[" * 5000, ("",)),
        ):
            code, err = self.validate(text)
            self.assertEqual(3, code, text[:80])
            for part in parts:
                self.assertIn(part, err)
