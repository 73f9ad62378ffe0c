"""Builds of earlier commits, taken from this repository's history."""

import io
import pathlib
import subprocess
import tarfile

_ROOT = pathlib.Path(__file__).parents[2]
_LOCK = "requirements.lock"


def extract(commit, folder):
    """Extract the sources of a commit; returns the path to import them from.

    :raises AssertionError: if the history lacks the commit, or if its build
        needs other libraries than the current one
    """
    archive = _git("archive", commit, "src", _LOCK)
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    extracted = pathlib.Path(folder)
    if (extracted / _LOCK).read_text() != (_ROOT / _LOCK).read_text():
        raise AssertionError(
            f"the build of {commit} needs other libraries; see its {_LOCK}"
        )
    return extracted / "src"


def _git(*arguments):
    result = subprocess.run(
        ["git", *arguments], cwd=_ROOT, capture_output=True, check=False
    )
    if result.returncode:
        raise AssertionError(
            f"git {' '.join(arguments)}: {result.stderr.decode().strip()};"
            " tests of mixed builds need the full history of the repository"
        )
    return result.stdout
