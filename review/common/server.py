"""Stand-in of an application server that announces itself to its own node."""

import asyncio
import time

from deployment import (
    HEARTBEAT_INTERVAL_S,
    call_json,
    new_attempt_id,
    read_head,
    split_address,
)


class Server:
    """Serve requests at the application address of a node and send its pings.

    `run` gets method, path, attempt id and body and returns the body of the answer.
    """

    def __init__(self, node, record, run, *, slots=50):
        self.id = f"i-{new_attempt_id()[:8]}"
        self.state = "ready"
        self.runs = []
        self._node = node
        self._record = record
        self._run = run
        self._slots = slots
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._pinging = None
        self._server = None
        self._tasks = set()

    @property
    def name(self):
        """Return the name of the node beside the server."""
        return self._node.name

    async def start(self, *, is_pinging=True):
        """Listen and, unless told otherwise, send pings."""
        host, port = split_address(self._node.settings["applicationAddress"])
        self._server = await asyncio.start_server(self._serve, host, port)
        if is_pinging:
            self._pinging = asyncio.create_task(self._ping_forever())

    async def stop_pinging(self):
        """Send no more pings."""
        if self._pinging is not None:
            self._pinging.cancel()
            self._pinging = None

    def close(self):
        """Stop listening and serving."""
        if self._server is not None:
            self._server.close()
        if self._pinging is not None:
            self._pinging.cancel()
        for task in self._tasks:
            task.cancel()

    def make_ping(self):
        """Return the body of the next ping."""
        self._sequence += 1
        settings = self._node.settings
        return {
            "address": settings["applicationAddress"],
            "born": self._born,
            "info": {
                "service": settings["service"],
                "version": "v1",
                "zone": settings["zone"],
                "maxConcurrency": self._slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "warmupRemainingMs": 0,
            },
        }

    async def send_ping(self, body):
        """Send a ping; return the status of the answer, 0 if there is none."""
        return await self._call("instances.heartbeat", body)

    async def send_leave(self):
        """Tell the node that the server is gone; return the status of the answer."""
        return await self._call("instances.deregister", {"born": self._born})

    async def _call(self, name, body):
        address = self._node.settings["listenAddresses"]["controlPlane"]
        try:
            answer = await call_json(address, f"/rpc?call={name}&of={self.id}", body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        return answer[0]

    async def _ping_forever(self):
        while True:
            await self.send_ping(self.make_ping())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        method, path, _ = first.split(" ")
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.id) != self.id:
            writer.write(b"HTTP/1.1 421 \r\ncontent-length: 0\r\n\r\n")
            return
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            head = f"HTTP/1.1 {status} \r\nX-Instance-Id: {self.id}\r\n"
            writer.write(f"{head}content-length: 0\r\n\r\n".encode())
            return
        self.runs.append(attempt)
        self._record.write(f"server {self.name}: begins {method} {path} {attempt}")
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        result = await self._run(method, path, attempt, body)
        writer.write(make_head(attempt, len(result)) + result)
        await writer.drain()
        self._record.write(f"server {self.name}: has answered {attempt}")


def make_head(attempt, size=None):
    """Return the head of a success; without a size it ends with its connection."""
    head = (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: s.{attempt}\r\n"
    )
    if size is not None:
        head += f"Content-Length: {size}\r\n"
    return head.encode() + b"\r\n"
