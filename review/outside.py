"""Stand-ins of the outside systems for the scripts of this review: the platform's store, workers, requesters and the start of the gateways.

They speak what the users' pages say. All addresses are loopback addresses; all ports are chosen by the kernel.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
CHECK_IN_SECONDS = 1.2

# Exit statuses of the cases. run.sh reports BROKEN as 1, which Python also uses for an error in the case itself.
HELD = 0
CANNOT_RUN = 2
BROKEN = 10

# A case that takes longer ends as one that could not run.
LIMIT_SECONDS = 110

KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


class CannotRun(Exception):
    """The case cannot be run on this machine."""


def gateway_command():
    """The command of the deploy file."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run"):
            program = ROOT / line.split('"')[1]
            if not program.is_file():
                raise CannotRun(f"{program.name} has not been built")
            return [str(program)]
    raise CannotRun("the deploy file names no command")


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        opened = socket.socket()
        opened.bind((ip, 0))
        sockets.append(opened)
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def start_line_and_fields(status, fields):
    return f"HTTP/1.1 {status} OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"


async def read_head(reader):
    """Returns the start line and the headers (names in lower case) of the next message, or None at the end of the channel."""
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
    return lines[0], headers


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    length = int(head[1].get("content-length", 0))
    try:
        return head[0], head[1], await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def response(status, body=b"", headers=None):
    text = f"HTTP/1.1 {status} {'OK' if status == 200 else 'Other'}\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    return text.encode() + b"\r\n" + body


class Server:
    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.ip, self.port, limit=1 << 20)
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

    def drop_channels(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def exit(self):
        """Closes the listener and resets all channels, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        self.drop_channels()


class Store(Server):
    """The platform's store: appends, reads and the newest records of keyed topics, in partition 0."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Condition()
        self.is_silent = False

    def put(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        asyncio.ensure_future(self.notify())
        return len(records) - 1

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            if self.is_silent:
                await asyncio.sleep(3600)
            result = await self.handle(*message)
            if self.is_silent:
                await asyncio.sleep(3600)
            writer.write(result)
            await writer.drain()

    async def handle(self, start, _headers, body):
        url = urllib.parse.urlsplit(start.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        records = self.topics.setdefault(query.get("topic", ""), [])
        if url.path == "/lentillock/log-newest":
            newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in sorted(newest.items()) if value is not None and key > query.get("after", "")]
            return response(200, json.dumps({"items": items[:500], "has_more": len(items) > 500, "end": len(records)}).encode())
        if url.path == "/lentillock/log-read":
            first = int(query["from"])
            deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while len(records) <= first and time.monotonic() < deadline:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                    except asyncio.TimeoutError:
                        break
            text = struct.pack(">QQ", len(records), 0)
            for key, value in records[first:]:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                text += struct.pack(">I", len(content)) + content
            return response(200, text)
        if url.path == "/lentillock/log-append":
            length = struct.unpack(">I", body[:4])[0]
            content = body[4:4 + length]
            offset = self.put(query["topic"], content[1:1 + content[0]].decode(), content[1 + content[0]:] or None)
            return response(200, json.dumps({"offset": offset, "end": offset + 1}).encode())
        return response(404)


class Worker(Server):
    """A sound worker of a service. Subclasses override run()."""

    def __init__(self, instance_id, service, zone="jm-south-a"):
        super().__init__()
        self.instance_id = instance_id
        self.service = service
        self.zone = zone
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.check_ins = None
        self.runs = []  # Time and id of each request that began to run.

    def entry(self, state="ready"):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 16, "state": state,
                           "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}).encode()

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            start, headers, body = message
            if headers.get("x-expect-instance", self.instance_id) != self.instance_id:
                writer.write(response(421, headers={"X-Instance-Id": self.instance_id, "X-Request-Id": headers.get("x-request-id", "")}))
                await writer.drain()
                continue
            self.runs.append((time.monotonic(), headers.get("x-request-id", "")))
            await self.run(start, headers, body, writer)

    def stamp(self, headers):
        return {"X-Request-Id": headers.get("x-request-id", ""), "X-Server-Stamp": f"stamp.{self.instance_id}"}

    async def register(self, store):
        """Writes the entry of this worker now and at each check-in, until the worker exits."""
        store.put("keyed.servers", self.instance_id, self.entry())
        self.check_ins = asyncio.ensure_future(self.check_in(store, self.instance_id))

    async def check_in(self, store, instance_id):
        while True:
            await asyncio.sleep(CHECK_IN_SECONDS)
            store.put("keyed.servers", instance_id, self.entry())

    def exit(self):
        if self.check_ins:
            self.check_ins.cancel()
        super().exit()

    async def run(self, _start, headers, _body, writer):
        await asyncio.sleep(0.06)
        writer.write(response(200, f"answer to {headers.get('x-request-id')}".encode(), self.stamp(headers)))
        await writer.drain()


class StreamingWorker(Worker):
    """A sound model worker: answers with a stream of events with increasing ids."""

    EVENTS = 8
    EVENT_SECONDS = 0.03

    async def run(self, _start, headers, _body, writer):
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **self.stamp(headers)}
        writer.write(start_line_and_fields(200, fields).encode())
        for number in range(int(headers.get("last-event-id", -1)) + 1, self.EVENTS):
            await asyncio.sleep(self.EVENT_SECONDS)
            event = f"id: {number}\ndata: {headers.get('x-request-id')} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Gateway:
    """One VM of the system, started with the command of the deploy file and settings like those of its template."""

    def __init__(self, index, zone, ports, store_address, folder):
        self.ip = f"127.0.0.{index + 2}"
        self.name = f"edge-{zone}-{index}"
        self.port, self.ready_port, peer_port, self.metrics_port = ports
        self.settings = folder / f"{self.name}.json"
        self.settings.write_text(json.dumps({
            "vm": self.name, "zone": zone, "ip": self.ip, "callerAddress": f"{self.ip}:{self.port}", "readinessAddress": f"{self.ip}:{self.ready_port}",
            "storeAddress": store_address, "peerPort": peer_port, "metricsPort": self.metrics_port, "drainGraceSeconds": 8, "repeatRatio": 0.2,
            "repeatSlack": 102, "repeatWindowSeconds": 10}))
        self.log_path = folder / f"{self.name}.log"
        self.process = None

    def start(self):
        with open(self.log_path, "ab") as log:
            environment = {"PATH": os.environ.get("PATH", ""), "LENTILLOCK_BOOT": str(self.settings)}
            self.process = subprocess.Popen(gateway_command(), stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=environment, cwd=ROOT)

    def peak_memory_mb(self):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0.0

    def log(self):
        return self.log_path.read_text() if self.log_path.exists() else ""

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ready_port), 1)
            writer.write(f"GET /lentillock/readyz HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split()[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self):
        for _ in range(150):
            if await self.is_ready():
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready: {self.log()[-400:]}")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def route(name, prefix, kind, service, timeout_ms, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1,
            "service": service, "max_attempts": 1, "public": False, "sticky": False, "resumable": False, "gap_aim_ms": 250, **more}


# The model of the engines as the sheet of the small sites gives it.
ENGINE = {"slots": 16, "kv_capacity_tokens": 315000, "kv_bytes": 163840, "link_mbps": 400000.0, "stride": 51, "models": [{"name": "m"}], "step_ms": 0.85,
          "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
          "usual": {"prompt": 5000, "answer": 400}, "hop_ms": 0.05}


def document(version, routes, services, engines=(), max_body_bytes=4194304):
    """A desired state. Services named in engines are served by model workers."""
    entries = [{"name": name, "health_path": "/healthz", "max_connections": 264, "protocol": "h1", "tls": False} for name in services]
    for entry in entries:
        if entry["name"] in engines:
            entry["engine"] = ENGINE
    return json.dumps({
        "version": version, "routes": routes, "services": entries,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}).encode()


class Answer:
    def __init__(self, status, headers, body, is_whole, started, ended):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole
        self.started = started
        self.seconds = ended - started


async def request(gateway, request_id, path, method="POST", body=b"{}", limit_ms=10000, headers=None):
    """Sends one request on a new channel. The status is 0 if there was no answer within the time limit."""
    started = time.monotonic()
    status, answer_headers, content, is_whole = 0, {}, b"", False
    writer = None
    try:
        async with asyncio.timeout(limit_ms / 1000):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.port, limit=1 << 20)
            text = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {limit_ms}\r\nX-Credential: {KEY}\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
            text += f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
            writer.write(text.encode() + b"\r\n" + (body if method != "GET" else b""))
            head = await read_head(reader)
            if head is not None:
                status, answer_headers = int(head[0].split()[1]), head[1]
                if answer_headers.get("transfer-encoding") == "chunked":
                    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                        content += await reader.readexactly(size)
                        await reader.readexactly(2)
                    await reader.readuntil(b"\r\n")
                else:
                    content = await reader.readexactly(int(answer_headers.get("content-length", 0)))
                is_whole = True
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    return Answer(status, answer_headers, content, is_whole, started, time.monotonic())


class KeptChannel:
    """A channel that a requester keeps open for many requests; a new one is opened when the gateway has closed it or asked to."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = self.writer = None

    async def request(self, request_id, path, body, limit_ms):
        """Returns the status of the answer, or 0 if there was none, and whether the channel had carried a request before."""
        was_kept = self.writer is not None
        try:
            async with asyncio.timeout(limit_ms / 1000):
                if not was_kept:
                    self.reader, self.writer = await asyncio.open_connection(self.gateway.ip, self.gateway.port, limit=1 << 20)
                text = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {limit_ms}\r\nX-Credential: {KEY}\r\n"
                self.writer.write(f"{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                start, fields = await read_head(self.reader)
                await self.reader.readexactly(int(fields.get("content-length", 0)))
                if fields.get("connection") == "close":
                    self.close()
                return int(start.split()[1]), was_kept
        except (OSError, TypeError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return 0, was_kept

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None


class Record:
    """What was sent, answered and run, in record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w")
        self.started = time.monotonic()

    def write(self, text, at=None):
        self.file.write(f"{(at or time.monotonic()) - self.started:8.3f} {text}\n")
        self.file.flush()


async def run_limited(case, record, folder, trouble):
    """Runs the case. At the time limit and on SIGTERM it is cancelled, so that it ends the processes that it has started."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with asyncio.timeout(LIMIT_SECONDS):
        return await case(record, folder, trouble)


def run_case(case, folder):
    """Runs case(record, temporary folder, trouble), which returns whether the rule was broken. Returns the exit status."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if trouble else 'no'}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            is_broken = asyncio.run(run_limited(case, record, pathlib.Path(temporary), trouble))
    except (CannotRun, OSError, asyncio.CancelledError) as error:
        record.write(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        return CANNOT_RUN
    verdict = "the rule was broken" if is_broken else "the rule held"
    record.write(verdict)
    print(verdict)
    return BROKEN if is_broken else HELD
