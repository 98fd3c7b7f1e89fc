"""Simulated store and endpoints of the platform, and a loopback proxy that injects connection faults."""

import asyncio
import base64
import json
import random
import struct
import time
import urllib.parse

READ_LIMIT = 1 << 20
KEY_ERRORS = "surrogateescape"  # Keys are bytes, which need not be UTF-8.


async def read_message(reader):
    """Reads one HTTP message. Returns its start line, its headers (names in lower case) and its body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def answer(status, body=b"", headers=None, reason="X"):
    text = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    return text.encode() + b"\r\n" + body


class Server:
    """Accepts connections on a loopback port that the kernel chooses."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port, limit=READ_LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """Simulates the keyed topics of the platform's store: newest records by key, reads that wait for new records, and appends."""

    PAGE_SIZE = 3  # Small, so that listings span several pages.

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.records_changed = asyncio.Condition()
        self.outage = None  # None, "busy", "reset" or "silent"
        self.era = 1
        self.response_loss_rate = 0.0
        self.random = random.Random(1)

    def put(self, topic, key, value):
        """Appends a record and returns its offset; a value of None deletes the key."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        asyncio.ensure_future(self.notify())
        return len(records) - 1

    async def notify(self):
        async with self.records_changed:
            self.records_changed.notify_all()

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            if self.outage == "silent":
                await asyncio.sleep(3600)
            if self.outage == "reset":
                writer.transport.abort()
                return
            if self.outage == "busy":
                writer.write(self.answer(503))
                await writer.drain()
                continue
            result = await self.handle(*message)
            if self.outage or self.random.random() < self.response_loss_rate:
                writer.transport.abort()
                return
            writer.write(result)
            await writer.drain()

    def answer(self, status, body=b""):
        return answer(status, body, {"Store-Era": str(self.era)} if self.era else None)

    def copy(self):
        """A copy to which the store can be set back."""
        return {topic: list(records) for topic, records in self.topics.items()}

    def set_back(self, copy):
        """Continues from an older copy: what was written since is gone, and its offsets are given out again."""
        self.topics = {topic: list(records) for topic, records in copy.items()}
        self.era += 1

    def list_item(self, key, offset, value):
        return {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}

    async def handle(self, start, _headers, body):
        url = urllib.parse.urlsplit(start.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(url.query, errors=KEY_ERRORS))
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if url.path.endswith("log-newest"):
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            remaining = [
                (key, offset, value) for key, (offset, value) in sorted(newest.items())
                if value is not None and ("after" not in query or key > query["after"])
            ]
            page = [self.list_item(*record) for record in remaining[:self.PAGE_SIZE]]
            text = json.dumps({"items": page, "has_more": len(page) < len(remaining), "end": len(records)}, ensure_ascii=False)
            return self.answer(200, text.encode(errors=KEY_ERRORS))
        if url.path.endswith("log-read"):
            first = int(query["from"])
            if first > len(records):
                return self.answer(410, json.dumps({"first": 0}).encode())
            deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while len(records) <= first and time.monotonic() < deadline and self.topics.get(topic) is records:
                async with self.records_changed:
                    try:
                        await asyncio.wait_for(self.records_changed.wait(), deadline - time.monotonic())
                    except asyncio.TimeoutError:
                        break
            text = struct.pack(">QQ", len(records), 0)
            for key, value in records[first:]:
                key_bytes = key.encode(errors=KEY_ERRORS)
                content = bytes([len(key_bytes)]) + key_bytes + (value or b"")
                text += struct.pack(">I", len(content)) + content
            return self.answer(200, text)
        if url.path.endswith("log-append"):
            length = struct.unpack(">I", body[:4])[0]
            content = body[4:4 + length]
            key = content[1:1 + content[0]].decode(errors=KEY_ERRORS)
            offset = self.put(topic, key, content[1 + content[0]:] or None)
            return self.answer(200, json.dumps({"offset": offset, "end": offset + 1}).encode())
        return self.answer(404)


def expected_body(request_id):
    return f"answer to {request_id}".encode()


def expected_event(request_id, number):
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


class Endpoint(Server):
    """Runs requests as the platform's workers do, and reports to the checker which ones arrived and ran."""

    EVENTS = 8
    EVENT_INTERVAL = 0.03

    def __init__(self, instance_id, service, checker, seed):
        super().__init__()
        self.instance_id = instance_id
        self.incarnation = 0
        self.service = service
        self.checker = checker
        self.random = random.Random(seed)
        self.fault = None  # None, "hang", "lose", "cut", "error", "full", "extra"
        self.fault_share = 0.5
        self.says_leaving = False
        self.closed_until = 0.0  # Requests are rejected with Retry-After until then.

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            start, headers, _body = message
            request_id = headers.get("x-request-id", "")
            if headers.get("x-expect-instance") not in (None, self.instance_id):
                writer.write(answer(421, headers={"X-Instance-Id": self.instance_id, "X-Request-Id": request_id}))
                await writer.drain()
                continue
            self.checker.record_arrival(self, request_id, start, headers)
            fault = self.fault if self.fault and self.random.random() < self.fault_share else None
            closed_for = self.closed_until - time.monotonic()
            if closed_for > 0:
                self.checker.record_closed(self, request_id, self.closed_until)
                writer.write(answer(503, headers={"X-Not-Executed": "1", "X-Request-Id": request_id, "Retry-After": f"{closed_for:.3f}"}))
                await writer.drain()
                continue
            if fault == "full":
                writer.write(answer(503, headers={"X-Not-Executed": "1", "X-Request-Id": request_id}))
                await writer.drain()
                continue
            self.checker.record_run(self, request_id)
            if not await self.run(start, headers, request_id, fault, writer):
                return

    async def run(self, start, headers, request_id, fault, writer):
        stamp = {"X-Request-Id": request_id, "X-Server-Stamp": f"stamp.{self.instance_id}"}
        if self.says_leaving:
            stamp["Server-Leaving"] = "1"
            stamp["X-Incarnation"] = str(self.incarnation)
        if fault == "hang":
            await asyncio.sleep(30)
        if fault == "lose":
            writer.transport.abort()
            return False
        if fault == "error":
            writer.write(answer(500, b"failed", stamp))
            await writer.drain()
            return True
        if "/stream/" in start:
            return await self.stream(headers, request_id, stamp, fault, writer)
        await asyncio.sleep(self.random.uniform(0.005, 0.05))
        body = expected_body(request_id)
        text = answer(200, body, stamp)
        if fault == "cut":
            writer.write(text[:-3])
            await writer.drain()
            return False
        writer.write(text)
        if fault == "extra":
            writer.write(answer(200, b"another answer", {"X-Request-Id": "nobody", "X-Server-Stamp": "x"}))
        await writer.drain()
        return True

    async def stream(self, headers, request_id, stamp, fault, writer):
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for name, value in stamp.items():
            text += f"{name}: {value}\r\n"
        writer.write(text.encode() + b"\r\n")
        first = int(headers.get("last-event-id", -1)) + 1
        stop = self.random.randrange(self.EVENTS) if fault == "cut" else None
        for number in range(first, self.EVENTS):
            await asyncio.sleep(self.EVENT_INTERVAL)
            event = expected_event(request_id, number)
            if number == stop:
                event = event[:len(event) // 2]
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if number == stop:
                writer.transport.abort()
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Proxy(Server):
    """Forwards bytes to a server. Can delay them, block one or both directions, and reset its connections."""

    def __init__(self, target_port):
        super().__init__()
        self.target_port = target_port
        self.delay = 0.0
        self.block_requests = False
        self.block_responses = False

    async def serve(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port, limit=READ_LIMIT)
        self.writers.add(target_writer)
        try:
            await asyncio.gather(
                self.forward(reader, target_writer, "block_requests"), self.forward(target_reader, writer, "block_responses"))
        finally:
            self.writers.discard(target_writer)
            target_writer.close()

    async def forward(self, reader, writer, block_flag):
        while True:
            data = await reader.read(65536)
            if self.delay:
                await asyncio.sleep(self.delay)
            # A connection that has been silent stays blocked; only new connections work again.
            while getattr(self, block_flag):
                await asyncio.sleep(3600)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()
