"""Guards against pages that no longer say what the sources say."""

import testtools

from fireflyspur.config import json_schema
from tools import reference


class TestReference(testtools.TestCase):
    def test_every_key_is_on_the_page(self):
        page = reference.reference_page()
        for name in ("settings", "records"):
            schema = json_schema.load_schema(name)
            for definition in (schema, *schema["$defs"].values()):
                for key, value in definition["properties"].items():
                    if "$ref" in value:
                        self.assertIn(f"### `{key}`", page)
                    else:
                        self.assertIn(f"{key}` | {value['type']}", page)

    def test_the_pages_are_up_to_date(self):
        for name, text in reference.pages().items():
            path = reference.FOLDER / name
            written = path.read_text(encoding="utf-8")
            self.assertEqual(text, written, f"run make generate: {name}")

    def test_error_codes_of_other_packages_are_found(self):
        page = reference.errors_page()
        for code in ("invalid_api_key", "record_beaten", "not_found"):
            self.assertIn(f"| `{code}` | ", page)
