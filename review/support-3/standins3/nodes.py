"""Nodes of the system as processes of their own."""

import asyncio
import os
import pathlib
import signal
import time
import tomllib

from standins3 import http1

ROOT = pathlib.Path(__file__).resolve().parents[3]
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stability_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 104,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "hold_max_ms": 20000,
    "free_ms": 4000,
    "idle_max_ms": 9000,
}
SETTINGS = """
node_name = "{name}"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "hokkaido"
internal_port_range = [7340, 7355]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200

[zones]
sapporo-a = "hokkaido"
sapporo-b = "hokkaido"
asahikawa = "hokkaido"

[listen]
front = "{host}:8227"
ready = "{host}:8220"

[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0

[bounds]
revoke_fail_closed = false
{bounds}

[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
keep_s = 300
"""


def command() -> list[str]:
    """Return the command of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    return tomllib.loads(text)["roles"]["node"]["run"].split()


class Node:
    """A node that the platform starts again when it has ended.

    :param folder: holds its settings file and its log
    """

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.process: asyncio.subprocess.Process | None = None
        # Steady clock and exit code of each end.
        self.ends: list[tuple[float, int]] = []
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self._store = store
        self._is_stopped = False
        self._supervision: asyncio.Task[None] | None = None

    def write_settings(self, **changes: object) -> None:
        """Write the settings file, as the platform does.

        :param changes: bounds that differ from the usual ones
        """
        bounds = {**BOUNDS, **changes}
        lines = "\n".join(f"{k} = {v}" for k, v in bounds.items())
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            store=self._store,
            bounds=lines,
        )
        new = self.settings.with_suffix(".new")
        new.write_text(text)
        new.replace(self.settings)

    async def start(self) -> None:
        """Start the process, and again after each end."""
        self.write_settings()
        await self._start_process()
        self._supervision = asyncio.ensure_future(self._supervise())

    async def _start_process(self) -> None:
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FIREFLYSPUR_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at_s = time.monotonic()

    async def _supervise(self) -> None:
        while True:
            code = await self.process.wait()
            self.ends.append((time.monotonic(), code))
            if self._is_stopped:
                return
            await asyncio.sleep(0.5)
            if self._is_stopped:
                return
            await self._start_process()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process for good."""
        self._is_stopped = True
        if self._supervision is not None:
            if self.process.returncode is None:
                self.send_signal(signal.SIGCONT)
                self.send_signal(signal.SIGKILL)
            await self._supervision

    async def is_ready(self, timeout_s: float = 0.5) -> bool:
        """Ask the node once whether it is ready."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(self.host, 8220)
                try:
                    writer.write(
                        b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    response = await http1.read_response(reader)
                finally:
                    writer.close()
        except (TimeoutError, OSError, EOFError):
            return False
        return response.status == 200
