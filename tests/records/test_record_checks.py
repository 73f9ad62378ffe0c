"""Guards against the publication of records with typos."""

import testtools

from fireflyspur.records import record_checks
from tests.support import records


def errors(*values, allow_newer=False):
    sources = [
        record_checks.SourceRecord(f"fleet.yaml: document {i}", value)
        for i, value in enumerate(values, 1)
    ]
    return record_checks.find_publication_errors(sources, allow_newer)


def engine(name, **spec):
    values = {
        "address": "127.0.0.1",
        "port": 7000,
        "failure_domain": "sapporo-a",
        "memory_tokens": 1000,
    }
    return records.make("engine", name, **{**values, **spec})


class TestRecordChecks(testtools.TestCase):
    def check(self, found, *parts):
        self.assertEqual(1, len(found), found)
        for part in ("fleet.yaml: document", *parts):
            self.assertIn(part, found[0])

    def test_valid_records(self):
        self.assertEqual([], errors(records.model(), engine("e-1")))

    def test_unknown_keys_name_the_expected_ones(self):
        value = records.make("model", "quill", version="1", contxt_tokens=5)
        self.check(errors(value), "spec.", "'contxt_tokens'", "context_tokens")
        value = {**records.model(), "basedon": 3}
        self.check(errors(value), "'basedon'", "based_on")
        endpoint = {"address": "127.0.0.1", "port": 1, "prt": 2}
        value = records.make("service", "desk", endpoints=[endpoint])
        self.check(errors(value), "spec.endpoints.0", "'prt'", "port")

    def test_unknown_kind(self):
        found = errors(records.make("modell", "quill", version="1"))
        self.check(found, "kind: expected one of model,", "'modell'")

    def test_wrong_types_and_bounds(self):
        self.check(
            errors(engine("e", port="x")), "spec.port: expected integer"
        )
        self.check(errors(engine("e", port=0)), "expected minimum 1, found 0")
        self.check(errors(records.make("model", "m")), "spec.(top)", "version")
        infinite = records.account(tokens_per_s=float("inf"))
        self.check(errors(infinite), "spec.tokens_per_s", "finite")
        self.check(errors([1]), "expected object")

    def test_newer_schema_version(self):
        value = records.make("model", "quill", version=7, shape="new")
        value["schema_version"] = 2
        self.check(
            errors(value), "schema_version: expected at most 1, found 2"
        )
        self.assertEqual([], errors(value, allow_newer=True))
        # The option does not disable the check for typos.
        value["schema_version"] = 1
        self.assertNotEqual([], errors(value, allow_newer=True))

    def test_duplicate_address_in_a_service(self):
        endpoints = [
            {"address": "127.0.0.1", "port": 1},
            {"address": "127.0.0.1", "port": 1, "failure_domain": "maan-c"},
        ]
        found = errors(records.make("service", "desk", endpoints=endpoints))
        self.check(found, "spec.endpoints.1", "127.0.0.1:1", "endpoints.0")

    def test_duplicate_address_in_engine_records(self):
        found = errors(engine("e-1"), engine("e-2"))
        self.check(found, "document 2", "127.0.0.1:7000", "document 1")
        moved = {**engine("e-1"), "deleted": True}
        self.assertEqual([], errors(moved, engine("e-2")))

    def test_duplicate_name(self):
        found = errors(records.model(), records.model())
        self.check(found, "document 2", "model/quill")
