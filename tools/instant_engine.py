"""An engine endpoint that answers at once, for measurements of the node.

It speaks the engine's stream protocol and generates nothing: the lines of an
answer are put together without a JSON encoder. The first word of a prompt
says how it is answered: ``at-once`` in one write, ``paced`` with one write
for each token, ``hold`` with one token and then nothing until the connection
closes.
"""

import argparse
import asyncio
import json

import msgspec

# Tokens of one paced stream are this far apart, as at the design size.
_TOKEN_INTERVAL_S = 0.038
_LIMIT_BYTES = 64 * 1024 * 1024

_ANSWERS = {
    b"/load": {"incarnation": "1", "models": ["quill"]},
    b"/state": {
        "incarnation": "1",
        "models": {"quill": "1"},
        "adapters": {},
        "role": "any",
        "loading": None,
        "leaving": False,
    },
    b"/holdings": {"holdings": []},
}


class _Start(msgspec.Struct):
    request_id: str
    attempt: int
    max_tokens: int
    prompt: str


def _token(start: _Start, index: int) -> bytes:
    line = (
        f'{{"request_id":"{start.request_id}","attempt":{start.attempt},'
        f'"type":"token","index":{index},"text":"word "}}\n'
    )
    return b"%x\r\n%b\r\n" % (len(line), line.encode())


def _closing(start: _Start) -> bytes:
    usage = {
        "prompt_tokens": 1,
        "completion_tokens": start.max_tokens,
        "total_tokens": start.max_tokens + 1,
    }
    line = json.dumps(
        {
            "request_id": start.request_id,
            "attempt": start.attempt,
            "type": "done",
            "finish_reason": "length",
            "usage": usage,
        }
    )
    return b"%x\r\n%b\n\r\n0\r\n\r\n" % (len(line) + 1, line.encode())


async def _stream(body: bytes, writer: asyncio.StreamWriter) -> None:
    start = msgspec.json.decode(body, type=_Start)
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/jsonl\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    match start.prompt.partition(" ")[0]:
        case "paced":
            loop = asyncio.get_running_loop()
            due = loop.time()
            for index in range(start.max_tokens):
                writer.write(_token(start, index))
                due += _TOKEN_INTERVAL_S
                await asyncio.sleep(due - loop.time())
        case "hold":
            writer.write(_token(start, 0))
            await asyncio.Event().wait()
        case _:
            tokens = (_token(start, i) for i in range(start.max_tokens))
            writer.write(b"".join(tokens))
    writer.write(_closing(start))


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    target = head.split(b" ", 2)[1].removeprefix(b"/engine/v1")
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.partition(b":")[2])
    body = await reader.readexactly(size)
    if head.startswith(b"POST /engine/v1/streams "):
        stream = asyncio.ensure_future(_stream(body, writer))
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait(
            {stream, closed}, return_when=asyncio.FIRST_COMPLETED
        )
        stream.cancel()
        closed.cancel()
        return
    answer = json.dumps(_ANSWERS.get(target, {})).encode()
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(answer), answer)
    )


async def _serve_one(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        await _answer(reader, writer)
        await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def _serve() -> None:
    server = await asyncio.start_server(
        _serve_one, "127.0.0.1", 0, limit=_LIMIT_BYTES, backlog=1024
    )
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({"port": port}), flush=True)
    await server.serve_forever()


def main() -> None:
    """Serve until the process is ended."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    asyncio.run(_serve())


if __name__ == "__main__":
    main()
