"""Running of commands within the test's process."""

import contextlib
import io
import json

from fireflyspur.console import application


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
