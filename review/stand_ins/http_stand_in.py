"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review. Loopback only."""
import asyncio


class Silent(Exception):
    """Raised by a handler whose peer shall get no answer."""


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """Serves one port. The handler gets (method, target, headers, body) and returns (status, content type, body)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=2 ** 22, backlog=1024)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                status, kind, answer = await self.handler(method, target, headers, body)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(answer)}\r\n\r\n"
                             .encode() + answer)
                await writer.drain()
        except Silent:
            # The connection stays open without an answer, like one behind a partition.
            while True:
                await asyncio.sleep(1)
                if not self.writers:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Closes the port and resets all connections, as when the process is killed."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


async def call(port, method, target, headers=None, body=b"", timeout=3.0):
    """Returns (status, body); status 0 when there was no answer in time."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
