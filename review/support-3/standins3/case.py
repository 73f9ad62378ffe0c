"""Set-up, record and end of a script."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

from standins3 import nodes as node_processes

HELD, BROKEN, NOT_RUN = 0, 1, 2
# Ports of the nodes on their addresses, with that of the metrics.
NODE_PORTS = (8227, 8220, 7340, 9464)


class CaseError(Exception):
    """The case could not run."""


class Case:
    """Holds what a script has started, and what it records.

    :param folder: of the case, in which ``record.txt`` is written
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes: list[node_processes.Node] = []
        self.started_at_s = time.monotonic()
        self._record = open(folder / "record.txt", "w")
        self._net = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        self._hosts = 0

    def note(self, text: str) -> None:
        """Write a line to the record."""
        at_s = time.monotonic() - self.started_at_s
        self._record.write(f"{at_s:9.3f} {text}\n")

    def note_at(self, at_s: float, text: str) -> None:
        """Write a line about an earlier moment to the record."""
        self._record.write(f"{at_s - self.started_at_s:9.3f} {text}\n")

    def host(self) -> str:
        """Return a loopback address that nothing uses."""
        for _ in range(200):
            self._hosts += 1
            host = f"{self._net}.{self._hosts}"
            if all(_is_free(host, port) for port in NODE_PORTS):
                return host
        raise CaseError("no free loopback address")

    async def start_nodes(
        self, store: str, count: int, zones: list[str]
    ) -> None:
        """Start nodes and wait until all are ready."""
        for number in range(count):
            zone = zones[number % len(zones)]
            name = f"front-{zone}-{number // len(zones) + 1}"
            node = node_processes.Node(
                name, self.host(), zone, store, self.folder
            )
            self.nodes.append(node)
            await node.start()
        deadline_s = time.monotonic() + 20
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > deadline_s:
                    raise CaseError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        self.note(f"{count} nodes ready")

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            with contextlib.suppress(ProcessLookupError):
                await node.stop()
        self._record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def run(
    folder: str,
    play: Callable[[Case], Awaitable[bool]],
    limit_s: float = 110,
) -> None:
    """Run a case and exit with its result.

    :param play: plays the case; returns whether the rule was broken
    """
    sys.exit(asyncio.run(_run(pathlib.Path(folder), play, limit_s)))


async def _run(
    folder: pathlib.Path,
    play: Callable[[Case], Awaitable[bool]],
    limit_s: float,
) -> int:
    case = Case(folder)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    result = NOT_RUN
    try:
        async with asyncio.timeout(limit_s):
            result = BROKEN if await play(case) else HELD
    except (CaseError, TimeoutError, asyncio.CancelledError) as error:
        case.note(f"not run: {error!r}")
    except Exception:
        case.note("not run: " + traceback.format_exc())
    finally:
        case.note(f"result {result}")
        await case.close()
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[result])
    return result
