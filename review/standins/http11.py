"""Minimal HTTP/1.1 over asyncio streams: enough for JSON bodies with a content-length."""

import asyncio
import json

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Returns the first line, the headers (names in lower case) and the body, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_request(method, path, host, body=None, headers=()):
    payload = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(payload)}"]
    if body is not None:
        lines.append("Content-Type: application/json")
    lines.extend(f"{name}: {value}" for name, value in headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + payload


def encode_response(status, body):
    payload = json.dumps(body, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
    return head.encode() + payload


class Server:
    """Serves `handle(method, path, headers, body)`, which returns a status and a JSON value, or None to leave a call unanswered."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, reuse_address=True, limit=1 << 21)

    async def stop(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2])
                if answer is None:
                    # A call without a response: nothing further comes on this connection.
                    await reader.read()
                    return
                writer.write(encode_response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(ip, port, method, path, host, body=None, headers=(), timeout=None):
    """Makes one call on a connection of its own. Returns the status and the body, or None without a whole answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(encode_request(method, path, host, body, headers))
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None:
            return None
        return int(message[0].split(" ")[1]), message[2].decode("utf-8", "replace")
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (ConnectionError, asyncio.TimeoutError, OSError):
        return None
