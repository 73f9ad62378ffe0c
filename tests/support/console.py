"""Running of commands within the test's process."""

import contextlib
import io
import json
import os

from fireflyspur.console import application


@contextlib.contextmanager
def environment(values):
    """Set variables of the process's environment for a while."""
    before = {name: os.environ.get(name) for name in values}
    os.environ.update(values)
    try:
        yield
    finally:
        for name, value in before.items():
            os.environ.pop(name)
            if value is not None:
                os.environ[name] = value


def run(*arguments):
    """Run a command; returns exit code, standard output and error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = application.main(list(arguments))
    return int(code), out.getvalue(), err.getvalue()


def run_json(*arguments):
    """Run a command with ``--json``; returns its decoded lines."""
    code, out, _ = run(*arguments, "--json")
    assert code == 0, out
    return [json.loads(line) for line in out.splitlines()]
