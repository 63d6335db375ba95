"""A small HTTP/1.1 server and client with CBOR bodies, on asyncio."""

import asyncio

import cbor


async def read_message(reader):
    """Returns (first line, headers, raw body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, text = line.split(":", 1)
            headers[name.strip().lower()] = text.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def serve(handler, host="127.0.0.1", port=0):
    """Starts a server. handler(method, path, body) returns (status, body), or None: no answer."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, path, _ = message[0].split(" ", 2)
                try:
                    body = cbor.loads(message[2])
                except (ValueError, IndexError):
                    body = None
                answer = await handler(method, path, body)
                if answer is None:
                    break
                status, data = answer
                raw = b"" if data is None else cbor.dumps(data)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/cbor\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


class Connection:
    """A client connection that stays open; opened again after an error or a timeout."""

    def __init__(self, address):
        self.address = address
        self.streams = None

    def close(self):
        if self.streams:
            self.streams[1].close()
        self.streams = None

    async def _exchange(self, method, path, body):
        if self.streams is None:
            host, port = self.address
            self.streams = await asyncio.open_connection(host, port)
        reader, writer = self.streams
        raw = b"" if body is None else cbor.dumps(body)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/cbor\r\n"
            f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed")
        status = int(message[0].split(" ")[1])
        data = cbor.loads(message[2])
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return status, data

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns (status, body); status 0 if no response came, and the connection is closed."""
        try:
            return await asyncio.wait_for(self._exchange(method, path, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, None
