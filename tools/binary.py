"""Builds the program as one file, a zipapp by shiv.

The file holds the sources of this checkout and the installed versions of the
libraries that they need, so the build needs no network.
"""

import importlib.metadata
import pathlib
import shutil
import sys
import tempfile
import tomllib

from packaging import requirements
from packaging import utils
import shiv.cli

_ROOT = pathlib.Path(__file__).parents[1]
_OUTPUT = _ROOT / "dist" / "fireflyspur"
_ENTRY_POINT = "fireflyspur.console.application:main"
_IGNORED = shutil.ignore_patterns("__pycache__")


def runtime_distributions() -> dict[str, importlib.metadata.Distribution]:
    """Return the installed libraries that the program needs, by name."""
    text = (_ROOT / "pyproject.toml").read_text(encoding="utf-8")
    pending = list(tomllib.loads(text)["project"]["dependencies"])
    found: dict[str, importlib.metadata.Distribution] = {}
    while pending:
        wanted = requirements.Requirement(pending.pop())
        if wanted.marker and not wanted.marker.evaluate({"extra": ""}):
            continue
        name = utils.canonicalize_name(wanted.name)
        if name not in found:
            found[name] = importlib.metadata.distribution(name)
            pending += found[name].requires or []
    return found


def build(output: pathlib.Path) -> None:
    """Build the file.

    :param output: path of the file
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site = pathlib.Path(folder)
        for distribution in runtime_distributions().values():
            _copy_files(distribution, site)
        shutil.copytree(
            _ROOT / "src" / "fireflyspur",
            site / "fireflyspur",
            ignore=_IGNORED,
        )
        # No --compile-pyc: compiling at the first start would use child
        # processes, and the program starts none.
        shiv.cli.main(
            [
                f"--site-packages={site}",
                f"--entry-point={_ENTRY_POINT}",
                f"--output-file={output}",
                "--python=/usr/bin/env python3.11",
                "--reproducible",
            ],
            standalone_mode=False,
        )


def _copy_files(
    distribution: importlib.metadata.Distribution, site: pathlib.Path
) -> None:
    for file in distribution.files or ():
        # Paths that leave site-packages are scripts.
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(distribution.locate_file(file), target)


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]) if sys.argv[1:] else _OUTPUT)
