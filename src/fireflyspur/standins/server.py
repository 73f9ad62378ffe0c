"""What all stand-ins share: a server that prints its port."""

import asyncio
import json
import signal
from typing import Any

from tornado import web

from fireflyspur.node import http_server

_MAX_HEADER_BYTES = 65536


class JsonHandler(web.RequestHandler):
    """Base of the stand-ins' handlers."""

    def send(self, value: Any, status: int = 200) -> None:
        """Respond with a JSON value."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))

    def refuse(self, status: int, code: str, **headers: str) -> None:
        """Respond with an error code."""
        for name, value in headers.items():
            self.set_header(name.replace("_", "-"), value)
        self.send({"code": code}, status)

    def read_json(self) -> Any:
        """Decode the body; one that is not valid gets 400."""
        try:
            return json.loads(self.request.body)
        except ValueError as error:
            raise web.HTTPError(400) from error


async def serve(application: web.Application, address: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT.

    Prints one JSON line with the port once it listens.

    :param port: the port, 0 for a free one
    """
    server, bound = http_server.listen(
        application, address, port, _MAX_HEADER_BYTES
    )
    await wait_for_stop(bound)
    server.stop()
    await server.close_all_connections()


async def wait_for_stop(port: int) -> None:
    """Print one JSON line with the port and wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    print(json.dumps({"port": port}), flush=True)
    await stop.wait()
