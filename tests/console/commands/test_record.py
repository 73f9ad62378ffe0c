"""Guards against operators' changes that get lost without a word."""

import json
import os
import tempfile

import testtools
import yaml

from fireflyspur.records import catalog as catalogs
from tests.support import console
from tests.support import polling
from tests.support import records
from tests.support import single_node
from tools import fleet as fleets


class _FilesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def file(self, *values):
        path = os.path.join(self.folder, "records.yaml")
        with open(path, "w", encoding="utf-8") as file:
            yaml.safe_dump_all(values, file)
        return path

    def publish(self, *values, options=()):
        path = self.file(*values)
        return console.run(
            "record", "publish", path, "--log", self.log_url, *options
        )


class TestRecord(_FilesTest):
    def setUp(self):
        super().setUp()
        fleet = self.enterContext(fleets.Fleet())
        fleet.start_standin("log", "log")
        self.log_url = fleet.url("log")

    def model(self, version, **envelope):
        return {**records.make("model", "m", version=version), **envelope}

    def test_the_loser_of_a_race_is_told_the_winner(self):
        self.assertEqual(0, self.publish(self.model("1"))[0])
        winner = self.model("2", based_on=1)
        options = ("--author", "alice")
        self.assertEqual(0, self.publish(winner, options=options)[0])
        code, _, err = self.publish(self.model("3", based_on=1))
        self.assertEqual(4, code)
        self.assertIn("model/m at offset 2 is in force, published by", err)
        self.assertIn("alice", err)
        code, out, _ = self.publish(
            self.model("3", based_on=1), options=("--json",)
        )
        self.assertEqual(4, code)
        self.assertEqual("record_beaten", json.loads(out)["error"]["code"])

    def test_based_on_current(self):
        for version in ("1", "2"):
            code, out, _ = self.publish(
                self.model(version), options=("--based-on-current",)
            )
            self.assertEqual(0, code)
        self.assertIn("model/m in force at offset 2", out)
        listed = console.run_json("record", "list", "--log", self.log_url)
        self.assertEqual([1], [item["based_on"] for item in listed])

    def test_diff(self):
        path = self.file(self.model("1"))
        arguments = ("record", "diff", path, "--log", self.log_url)
        self.assertIn("model/m: not in force", console.run(*arguments)[1])
        self.publish(self.model("1"))
        self.assertIn("equals offset 1", console.run(*arguments)[1])
        self.file(self.model("2"))
        _, out, _ = console.run(*arguments)
        self.assertIn("spec.version: '1' -> '2'", out)
        change = {"key": "spec.version", "old": "1", "new": "2"}
        found = console.run_json(*arguments)
        self.assertEqual([change], found[0]["changes"])

    def test_audit_from_the_log_alone(self):
        self.publish(self.model("1"), options=("--author", "alice"))
        self.publish(self.model("2"), options=("--author", "bob"))
        self.publish(self.model("3", based_on=1))
        url = self.log_url + "/streams/config/records"
        fleets.call(url, "POST", {"records": [records.make("model", "x")]})
        events = console.run_json("audit", "--log", self.log_url)
        found = [(e["offset"], e["action"]) for e in events]
        expected = [
            (1, "accepted"),
            (2, "accepted"),
            (3, "beaten"),
            (4, "refused"),
        ]
        self.assertEqual(expected, found)
        self.assertEqual(["spec.version: '1' -> '2'"], events[1]["changes"])
        self.assertEqual("bob", events[1]["author"])
        self.assertIn("offset 2 is in force", events[2]["reason"])
        self.assertIn("version", events[3]["reason"])
        _, out, _ = console.run(
            "audit", "--log", self.log_url, "--subject", "model/m"
        )
        self.assertIn("offset 2  bob  model/m  records accepted", out)

    def test_exit_codes_of_failures(self):
        bad = self.file(records.make("model", "m", version="1", vrsion="2"))
        code, _, err = console.run("record", "validate", bad)
        self.assertEqual(3, code)
        self.assertIn(f"{bad}: document 1: spec.", err)
        gone = "http://127.0.0.1:1"
        self.assertEqual(5, console.run("record", "list", "--log", gone)[0])
        self.assertEqual(5, console.run("view", "--node", gone)[0])
        self.assertEqual(5, console.run("audit", "--log", gone)[0])
        with self.assertRaises(SystemExit) as caught:
            console.run("record", "publish")
        self.assertEqual(2, caught.exception.code)


class TestTwoSchemaVersions(single_node.SingleNodeTest, _FilesTest):
    """This program is the old reader of version 2 records."""

    def test_an_old_reader_keeps_working_and_passes_all_fields_on(self):
        self.log_url = self.fleet.url("log")
        admin = self.fleet.url("node-1", "admin")
        newer = {
            **records.make("model", "quill", version=["2", "3"], shape="new"),
            "schema_version": 2,
            "review": {"by": "carol"},
        }
        code, _, err = self.publish(newer)
        self.assertEqual(3, code)
        self.assertIn("--allow-newer", err)
        code, _, _ = self.publish(newer, options=("--allow-newer",))
        self.assertEqual(0, code)
        polling.wait_until(
            lambda: self.view()["config_offset"] == 4,
            "the node reads the newer record",
        )
        body = {"model": "quill", "prompt": "x", "max_tokens": 1}
        self.assertEqual(200, self.request(body)[0])
        listed = console.run_json("record", "list", "--log", self.log_url)
        found = next(x for x in listed if x["kind"] == "model")
        self.assertEqual(newer, {key: found[key] for key in newer})
        event = console.run_json("audit", "--node", admin)[-1]
        self.assertEqual("accepted", event["action"])
        self.assertIn("newer than this program", event["reason"])

    def test_entries_of_a_snapshot_keep_unknown_fields(self):
        newer = {
            **records.make("model", "m", version="2", shape="new"),
            "schema_version": 2,
            "review": {"by": "carol"},
        }
        first, second = catalogs.Catalog(), catalogs.Catalog()
        first.apply(1, 1.0, newer)
        items = [
            {"offset": e.offset, "time": e.time, "value": e.value}
            for e in first.entries
        ]
        second.apply(
            2, 2.0, {"kind": "snapshot", "covers": 1, "entries": items}
        )
        self.assertEqual(newer, second.get("model", "m").value)
        self.assertEqual("2", second.get("model", "m").spec.version)

    def test_view(self):
        admin = self.fleet.url("node-1", "admin")
        _, out, _ = console.run("view", "--node", admin)
        self.assertIn("node: node-1", out)
        self.assertIn("engine-1  127.0.0.1", out)
        view = console.run_json("view", "--node", admin)[0]
        self.assertEqual("node-1", view["node"])
