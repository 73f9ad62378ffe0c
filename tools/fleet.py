"""Starting and stopping of a fleet as separate processes on loopback.

Used by the tests, the demo and the load tool's launcher; the product itself
starts no process.
"""

import contextlib
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any
import urllib.request

import yaml

_SOURCE_FOLDER = pathlib.Path(__file__).parents[1] / "src"
_READY_TIMEOUT_S = 10.0
_STOP_TIMEOUT_S = 60.0


class Process:
    """One process of the fleet.

    :param arguments: arguments of the ``fireflyspur`` program
    :param log_path: file that takes its standard error
    :param program: how the program is started
    """

    def __init__(
        self,
        arguments: list[str],
        log_path: pathlib.Path,
        program: list[str] | None = None,
    ) -> None:
        self._log = log_path.open("ab")
        self._process = subprocess.Popen(
            [*(program or [sys.executable, "-m", "fireflyspur"]), *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            env=_environment(is_built=program is not None),
        )
        self._ports: dict[str, int] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def ports(self) -> dict[str, int]:
        """Ports that the process printed; waits for its first line."""
        if self._ports is None:
            line = self._process.stdout.readline()
            if not line:
                raise RuntimeError(f"process {self.pid} ended at its start")
            self._ports = json.loads(line)
        return self._ports

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process.poll() is None

    def terminate(self) -> None:
        """Ask the process to stop gracefully."""
        if self.is_running:
            self._process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once."""
        if self.is_running:
            self._process.kill()
        self.wait()

    def freeze(self) -> None:
        """Stop the process from running, as a paused VM."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process run on."""
        self._process.send_signal(signal.SIGCONT)

    def wait(self) -> int:
        """Wait for the end and return the exit code."""
        code = self._process.wait(_STOP_TIMEOUT_S)
        self._process.stdout.close()
        self._log.close()
        return code


def _environment(is_built: bool) -> dict[str, str]:
    values = {**os.environ, "PYTHONUNBUFFERED": "1"}
    if is_built:
        # A built program must not find the sources of this checkout.
        values.pop("PYTHONPATH", None)
    else:
        values["PYTHONPATH"] = str(_SOURCE_FOLDER)
    return values


class Fleet:
    """Log, VM list, engines, services and nodes as processes.

    :param program: how the program is started; None for this interpreter
    """

    def __init__(self, program: list[str] | None = None) -> None:
        self._program = program
        self._stack = contextlib.ExitStack()
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = pathlib.Path(folder)
        self._processes: dict[str, Process] = {}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    @property
    def folder(self) -> pathlib.Path:
        """Folder for settings, records and logs."""
        return self._folder

    def close(self) -> None:
        """Kill all processes that still run and remove the folder."""
        for process in self._processes.values():
            if process.is_running:
                process.thaw()
                process.kill()
        self._stack.close()

    def process(self, name: str) -> Process:
        """Return a process by name."""
        return self._processes[name]

    def start(self, name: str, *arguments: str) -> Process:
        """Start a process of the program under a name."""
        path = self._folder / f"{name}.log"
        process = Process(list(arguments), path, self._program)
        self._processes[name] = process
        return process

    def start_standin(self, name: str, kind: str, *options: str) -> Process:
        """Start a stand-in."""
        return self.start(name, "standin", kind, *options)

    def url(self, name: str, port: str = "port") -> str:
        """Return a base URL of a process."""
        return f"http://127.0.0.1:{self.process(name).ports[port]}"

    def start_node(
        self, name: str, failure_domain: str, **sections: dict[str, Any]
    ) -> Process:
        """Start a node against the stand-ins ``log`` and ``vm-list``.

        :param sections: sections of the settings to change
        """
        values: dict[str, Any] = {
            "node": {
                "name": name,
                "failure_domain": failure_domain,
                "http_port": 0,
                "admin_port": 0,
                "peer_port": 0,
                "drain_s": 0.0,
            },
            "log": {"url": self.url("log")},
            "vm_list": {"url": self.url("vm-list")},
        }
        for section, keys in sections.items():
            values.setdefault(section, {}).update(keys)
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(values), encoding="utf-8")
        return self.start(name, "node", "--settings", str(path))

    def wait_ready(self, name: str) -> None:
        """Wait until a node takes requests.

        :raises RuntimeError: if it does not in time
        """
        url = self.url(name, "http") + "/readyz"
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                call(url)
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"{name} is not ready after {_READY_TIMEOUT_S} s")

    def list_vm(
        self,
        name: str,
        role: str,
        failure_domain: str,
        state: str = "live",
        port: int | None = None,
    ) -> None:
        """Put a process into the VM list.

        :param role: ``node``, ``engine`` or ``service``
        :param state: ``live`` or ``leaving``
        :param port: the listed port; None for the process's own
        """
        ports = self.process(name).ports
        vm = {
            "role": role,
            "address": "127.0.0.1",
            "port": port or ports["peer" if role == "node" else "port"],
            "failure_domain": failure_domain,
            "state": state,
        }
        call(f"{self.url('vm-list')}/vms/{name}", "PUT", vm)

    def log_text(self, name: str) -> str:
        """Return what a process wrote to standard error."""
        return (self._folder / f"{name}.log").read_text(encoding="utf-8")


def call(
    url: str, method: str = "GET", body: Any = None, timeout_s: float = 10.0
) -> Any:
    """Make one HTTP call with a JSON body and return the decoded answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        return json.loads(response.read() or b"null")


def key_digest(key: str) -> str:
    """Return the form in which an account's record holds a key."""
    return hashlib.sha256(key.encode()).hexdigest()
