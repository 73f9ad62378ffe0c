"""Dependencies and settings of the deployment."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

import testtools

_ROOT = pathlib.Path(__file__).parents[2]
# Import names of libraries in deploy/requirements.txt, where they differ.
_IMPORT_NAMES = {"protobuf": "google"}
# Raises the same error as the deployed program if a library is missing.
_IMPORT_WITH_ONLY = """
import importlib.abc, sys

allowed = {*sys.argv[1:], *sys.stdlib_module_names, "fireflyspur"}

class MissingLibraryFinder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        top_level = name.partition(".")[0]
        # The name of this module depends on the build of the interpreter.
        if top_level.startswith("_sysconfigdata"):
            return None
        if top_level not in allowed:
            raise ModuleNotFoundError(f"No module named {name!r}", name=name)

sys.meta_path.insert(0, MissingLibraryFinder())
import fireflyspur.console.commands.platform
"""


class DeployTest(testtools.TestCase):
    """Guards against a deployed program that does not start."""

    def test_node_imports_only_installed_libraries(self):
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

    def test_versions_match_lock_file(self):
        lock = (_ROOT / "requirements.lock").read_text().lower().split()
        deployed = (_ROOT / "deploy" / "requirements.txt").read_text()
        for line in deployed.split():
            self.assertIn(
                line.replace("_", "-"),
                [locked.replace("_", "-") for locked in lock],
            )

    def test_deploy_file(self):
        text = (_ROOT / "deploy" / "system.toml").read_text()
        deploy = tomllib.loads(text)
        self.assertIn("platform", deploy["roles"]["node"]["run"])
        self.assertEqual(["front"], deploy["roles"]["node"]["serves"])


# Stands for python3: says what kind of machine it is on, and installs a file.
_PYTHON = """#!/bin/sh
case "$*" in
    -c*) echo "$KIND" ;;
    *pip*) mkdir -p target/deps && echo "$KIND" >target/deps/library.so ;;
esac
"""


class BuildTest(testtools.TestCase):
    """Guards against libraries of another kind of machine or Python."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        shutil.copytree(_ROOT / "deploy", self.root / "deploy")
        (self.root / "src" / "fireflyspur").mkdir(parents=True)
        (self.root / "bin").mkdir()
        python = self.root / "bin" / "python3"
        python.write_text(_PYTHON)
        python.chmod(0o755)

    def build(self, kind):
        """Build on a kind of machine, and return that of the libraries."""
        path = f"{self.root / 'bin'}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", "deploy/build.sh"],
            check=True,
            cwd=self.root,
            env={"PATH": path, "KIND": kind},
        )
        return self.library.read_text().strip()

    @property
    def library(self):
        return self.root / "target" / "deps" / "library.so"

    def test_libraries_are_kept_on_the_same_kind(self):
        self.build("linux-x86_64 3.11.6")
        self.library.write_text("kept")
        self.assertEqual("kept", self.build("linux-x86_64 3.11.6"))

    def test_libraries_are_replaced_on_another_kind(self):
        self.build("linux-x86_64 3.11.6")
        for kind in ("linux-aarch64 3.11.6", "linux-aarch64 3.11.7"):
            self.assertEqual(kind, self.build(kind))
