"""What the deployed program needs."""

import pathlib
import subprocess
import sys
import tomllib

import testtools

_ROOT = pathlib.Path(__file__).parents[2]
# Names under which the libraries of deploy/requirements.txt are imported.
_IMPORT_NAMES = {"protobuf": "google"}
# Fails as the deployed program does where a library is not installed.
_IMPORT_WITH_ONLY = """
import importlib.abc, sys

allowed = {*sys.argv[1:], *sys.stdlib_module_names, "fireflyspur"}

class Missing(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        first = name.partition(".")[0]
        # Named after the build of the interpreter.
        if first.startswith("_sysconfigdata"):
            return None
        if first not in allowed:
            raise ModuleNotFoundError(f"No module named {name!r}", name=name)

sys.meta_path.insert(0, Missing())
import fireflyspur.console.commands.platform
"""


class DeployTest(testtools.TestCase):
    """Guards against a program that does not start where it is deployed."""

    def test_node_imports_only_what_the_build_installs(self):
        lines = (_ROOT / "deploy" / "requirements.txt").read_text().split()
        names = {line.partition("==")[0] for line in lines}
        allowed = {_IMPORT_NAMES.get(name, name) for name in names}
        result = subprocess.run(
            [sys.executable, "-c", _IMPORT_WITH_ONLY, *sorted(allowed)],
            capture_output=True,
            text=True,
            cwd=_ROOT / "src",
        )
        self.assertEqual((0, ""), (result.returncode, result.stderr))

    def test_versions_are_those_of_the_tests(self):
        lock = (_ROOT / "requirements.lock").read_text().lower().split()
        deployed = (_ROOT / "deploy" / "requirements.txt").read_text()
        for line in deployed.split():
            self.assertIn(
                line.replace("_", "-"),
                [item.replace("_", "-") for item in lock],
            )

    def test_deploy_file(self):
        text = (_ROOT / "deploy" / "system.toml").read_text()
        deploy = tomllib.loads(text)
        self.assertIn("platform", deploy["roles"]["node"]["run"])
        self.assertEqual(["front"], deploy["roles"]["node"]["serves"])
