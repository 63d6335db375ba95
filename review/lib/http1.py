"""A small HTTP/1.1 server and client on asyncio, with CBOR bodies."""
import asyncio
import urllib.parse

import cbor

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def _read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(handler, host="127.0.0.1"):
    """Starts a server on a free port; handler(method, path, query, body) returns (status, body)."""

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, raw = await _read_message(reader)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                try:
                    body = cbor.loads(raw) if raw else None
                    status, answer = await handler(
                        method, path, dict(urllib.parse.parse_qsl(query)), body)
                except (ValueError, KeyError, IndexError, TypeError) as e:
                    status, answer = 400, {"error": repr(e)}
                content = b"" if answer is None else cbor.dumps(answer)
                writer.write(
                    ("HTTP/1.1 %d %s\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n"
                     % (status, REASONS.get(status, "Status"), len(content))).encode() + content)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, host, 0, limit=1 << 20, backlog=512)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """One kept connection to one address."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, body, timeout):
        """Returns (status, body, headers); status 0 means that no answer came."""
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            self.close()
            return 0, None, {}

    async def _call(self, method, path, body):
        if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
            self.close()
            host, port = self.address
            self.reader, self.writer = await asyncio.open_connection(host, port, limit=1 << 20)
        content = b"" if body is None else cbor.dumps(body)
        self.writer.write(
            ("%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/cbor\r\n"
             "Content-Length: %d\r\n\r\n"
             % (method, path, self.address[0], self.address[1], len(content))).encode() + content)
        await self.writer.drain()
        first, headers, raw = await _read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), cbor.loads(raw) if raw else None, headers
