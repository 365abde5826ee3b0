"""Not a case: no page names a caller that sends such bytes.

One request with a byte that isn't UTF-8, in the path or in the body, ends an
entry's process. Prints each process's exit code.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from site_lite import HOST_HEADER, PREFIX, main  # noqa: E402


async def scenario(site, trouble):
    body = b'{"spec":"\xff"}' if trouble else b'{"spec":"?"}'
    path = b"\xff" if trouble else b"?"
    requests = [b"GET " + PREFIX.encode() + path + b" HTTP/1.1\r\nHost: "
                + HOST_HEADER.encode() + b"\r\n\r\n",
                b"POST " + PREFIX.encode() + b"a" * 16 + b" HTTP/1.1\r\nHost: "
                + HOST_HEADER.encode() + b"\r\nContent-Length: "
                + str(len(body)).encode() + b"\r\n\r\n" + body]
    for entry, request in zip(site.entries, requests):
        reader, writer = await asyncio.open_connection(entry.ip, site.ports + 20)
        writer.write(request)
        site.record(f"{request!r} to {entry.name}: {await reader.read(60)!r}")
        writer.close()
    await asyncio.sleep(1.0)
    return [f"{entry.name} has ended with {entry.child.returncode}"
            for entry in site.entries if entry.child.poll() is not None]


sys.exit(main(Path(tempfile.mkdtemp()), scenario, workers=1))
