"""A minimal HTTP/1.1 server and client for the stand-ins, on asyncio."""

import asyncio
import json

HEAD_LIMIT = 1 << 20


async def read_message(reader):
    """@returns the first line, the headers by lower-case name, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def serve(ip, port, handle):
    """`handle(method, target, headers, body)` returns a status and a JSON value.

    Where it returns None, the connection is closed without an answer.
    """

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                answer = await handle(method, target, headers, body)
                if answer is None:
                    return
                data = json.dumps(answer[1]).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (answer[0], len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass  # The peer has gone.
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port, limit=HEAD_LIMIT,
                                      backlog=1024)


async def call(ip, port, method, target, body=None, headers=None, timeout=4.0):
    """@returns status and decoded body; (None, reason) where no answer came."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port, limit=HEAD_LIMIT)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(data)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if data:
                lines.append("Content-Type: application/json")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer) if answer else {}
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return None, repr(error)
