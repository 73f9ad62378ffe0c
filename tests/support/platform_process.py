"""A node of the gateway as a process of its own."""

import asyncio
import os
import signal
import sys

from tests.support import gateway_fleet

_START_TIMEOUT_S = 15.0
_END_TIMEOUT_S = 20.0

_SETTINGS = """
node_name = "{name}"
zone = "zone-a"
ip = "127.0.0.1"
internal_port_range = [{settings.peers.port}, {settings.peers.port}]
heartbeat_ms = 1200

[listen]
front = "{settings.callers}"
ready = "{settings.health}"

[bounds]
grace_s = {settings.grace_s}
drain_ms = 2000
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_budget_extra = 100
budget_window_s = 10

[limits]
memory_mb = 300

[platform]
address = "{settings.store}"
"""


class PlatformProcess(gateway_fleet.Node):
    """Runs ``fireflyspur platform`` beside the stand-ins of this process.

    :param fleet: holds the store and the endpoints
    :param folder: folder for the settings file and the log

    ``source`` is the folder that the program is imported from at the next
    start; None stands for the current build.
    """

    def __init__(self, fleet, folder, name="node-1", grace_s=8.0, source=None):
        super().__init__(fleet.settings(name, grace_s=grace_s))
        self.source = source
        self._name = name
        self._settings_path = os.path.join(folder, f"{name}.toml")
        self._log_path = os.path.join(folder, f"{name}.log")
        self.process = None

    async def __aenter__(self):
        text = _SETTINGS.format(name=self._name, settings=self.settings)
        with open(self._settings_path, "w") as file:
            file.write(text)
        await self.start()
        return self

    async def __aexit__(self, *error):
        if self.process.returncode is None:
            # A suspended process ends only once it goes on.
            self.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def start(self):
        """Start the process, without waiting until it is ready."""
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fireflyspur",
                "platform",
                env=self._environment(),
                stdout=log,
                stderr=log,
            )

    def _environment(self):
        environment = {
            **os.environ,
            "FIREFLYSPUR_SETTINGS": self._settings_path,
        }
        if self.source is not None:
            environment["PYTHONPATH"] = str(self.source)
        return environment

    async def wait_until_ready(self):
        """Wait until the balancer would send requests."""
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                while await self.health_or_none() != 200:
                    if self.process.returncode is not None:
                        raise AssertionError(f"ended: {self.log()}")
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            raise AssertionError(f"not ready: {self.log()}") from error

    async def health_or_none(self):
        """Return the status that the balancer gets, or None without one."""
        try:
            return await self.health()
        except OSError:
            return None

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def wait_until_ended(self):
        """Return the exit code of the process."""
        async with asyncio.timeout(_END_TIMEOUT_S):
            return await self.process.wait()

    def log(self):
        """Return what the process has logged."""
        with open(self._log_path) as file:
            return file.read()
