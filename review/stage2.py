"""Stand-ins of the cases 6 to 10: the platform's store, workers, clients, and gateways started with the command of the deploy file.

Every address is a loopback address, and every port is chosen by the kernel. A case writes what was sent, answered and run to record.txt.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Figures of the site kpecu-lc.
HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
RECOVER_S = 12.0
SETTINGS = {"bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "budget_slack": 102, "budget_window_s": 10}}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
ENGINE = {
    "slots": 16, "kv_capacity_tokens": 315000, "kv_bytes": 163840, "link_mbps": 400000.0, "stride": 51, "models": [{"name": "m"}], "step_ms": 0.85,
    "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
    "usual": {"prompt": 11108, "answer": 1622}, "hop_ms": 0.05,
}
PAGE_ITEMS = 500


class CannotRun(Exception):
    pass


class Record:
    """The lines of record.txt, with seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.begin = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns start line, fields (names in lower case) and body of one HTTP message with a length, or None at the end of the channel."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                fields.setdefault(name.strip().lower(), value.strip())
        length = int(fields.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
        return lines[0], fields, body
    except (asyncio.IncompleteReadError, OSError):
        return None


def message(status, fields, body=b""):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return head.encode() + b"\r\n" + body


class Server:
    """Listens on a loopback port."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends as a process does that crashes: the port has no listener any more, and every channel is reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store with its keyed topics. Every record is kept."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Condition()
        self.read_hooks = []  # Called with topic and end of each answer.

    def put(self, topic, key, value):
        """Appends a record. A value of None drops the key."""
        records = self.topics.setdefault(topic, [])
        records.append((key.encode(), b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()))
        asyncio.ensure_future(self.notify())
        return len(records) - 1

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        return {topic: list(records) for topic, records in self.topics.items()}

    def come_back_from(self, copy):
        self.topics = {topic: list(records) for topic, records in copy.items()}
        self.era += 1

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            if self.is_away:
                writer.transport.abort()
                return
            status, content = await self.handle(*request)
            if self.is_away:
                writer.transport.abort()
                return
            writer.write(message(status, {"Store-Era": self.era}, content))
            await writer.drain()

    async def handle(self, start, _fields, body):
        url = urllib.parse.urlsplit(start.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if url.path == "/lentillock/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            after = query.get("after", "").encode()
            rest = [(key, *newest[key]) for key in sorted(newest) if newest[key][1] and (not after or key > after)]
            items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset} for key, offset, value in rest[:PAGE_ITEMS]]
            return 200, json.dumps({"items": items, "has_more": len(rest) > PAGE_ITEMS, "end": len(records)}).encode()
        if url.path == "/lentillock/log-read":
            first = int(query["from"])
            if first > len(records):
                return 410, b'{"first":0}'
            deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while len(records) <= first and time.monotonic() < deadline and self.topics.get(topic) is records and not self.is_away:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, deadline - time.monotonic()))
                    except asyncio.TimeoutError:
                        pass
            content = struct.pack(">QQ", len(records), 0)
            for key, value in records[first:]:
                record = bytes([len(key)]) + key + value
                content += struct.pack(">I", len(record)) + record
            for hook in self.read_hooks:
                hook(topic, first, len(records))
            return 200, content
        if url.path == "/lentillock/log-append":
            offset = len(records)
            while body:
                length = struct.unpack(">I", body[:4])[0]
                record, body = body[4:4 + length], body[4 + length:]
                self.put(topic, record[1:1 + record[0]].decode(), record[1 + record[0]:] or None)
            return 200, json.dumps({"offset": offset, "end": len(records)}).encode()
        return 404, b"{}"


class Worker(Server):
    """A worker that registers itself, writes a check-in every HEARTBEAT_S, and answers requests and streams as the pages say."""

    EVENTS = 10
    EVENT_S = 0.02
    WORK_S = 0.03

    def __init__(self, stage, identifier, service, slots=16):
        super().__init__()
        self.stage = stage
        self.id = identifier
        self.service = service
        self.slots = slots
        self.sequence = 0
        self.born = 0
        self.state = "ready"
        self.is_silent = False  # It writes no check-ins any more.
        self.is_leaving = False  # Its answers say so.
        self.beats = None

    async def begin(self):
        await self.start()
        self.born = int(time.time() * 1000)
        self.check_in()
        if self.beats is None:
            self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.server and not self.is_silent and not self.stage.store.is_away:
                self.check_in()

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "zone-0", "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    def check_in(self):
        self.sequence += 1
        self.stage.store.put("keyed.servers", self.id, self.entry())

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            start, fields, body = request
            identifier = fields.get("x-request-id", "")
            if start.split(" ")[1] == "/lentillock/order":
                writer.write(message(400, {}, b"{}"))
                continue
            if fields.get("x-expect-instance", self.id) != self.id:
                writer.write(message(421, {"X-Instance-Id": self.id}))
                continue
            self.stage.record.write(f"run {identifier} at {self.id} tenant {fields.get('x-tenant', '')}")
            self.stage.arrivals.append((time.monotonic(), identifier, self.id))
            if not await self.run(start, fields, body, identifier, writer):
                return

    def stamp(self, identifier):
        return {"X-Request-Id": identifier, "X-Server-Stamp": f"stamp.{self.id}.{identifier}", **({"Server-Leaving": "1"} if self.is_leaving else {})}

    async def run(self, start, fields, body, identifier, writer):
        if self.service == "reader":
            return await self.stream(fields, identifier, writer)
        await asyncio.sleep(self.WORK_S)
        writer.write(message(200, self.stamp(identifier), self.answer_of(identifier, fields)))
        await writer.drain()
        return True

    def answer_of(self, identifier, fields):
        return f"answer to {identifier} of {fields.get('x-tenant', '')}".encode()

    def stream_head(self, identifier):
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **self.stamp(identifier)}
        return ("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode()

    def event(self, identifier, number):
        event = f"id: {number}\ndata: {identifier} {number}\n\n".encode()
        return f"{len(event):x}\r\n".encode() + event + b"\r\n"

    async def stream(self, fields, identifier, writer):
        await asyncio.sleep(self.WORK_S)
        writer.write(self.stream_head(identifier))
        for number in range(int(fields.get("last-event-id", -1)) + 1, self.EVENTS):
            await asyncio.sleep(self.EVENT_S)
            writer.write(self.event(identifier, number))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class CrashingWorker(Worker):
    """Crashes when it begins to write an answer to a request whose prompt has the part stage.deadly_part, and is back after BACK_S."""

    BACK_S = 2.0
    IS_DEADLY = TROUBLE

    async def run(self, start, fields, body, identifier, writer):
        parts = [part.partition(":")[0] for part in fields.get("x-prompt-prefix", "").split(",")]
        if not self.IS_DEADLY or self.stage.deadly_part not in parts[:-1]:
            return await super().run(start, fields, body, identifier, writer)
        await asyncio.sleep(self.WORK_S)
        writer.write(self.first_bytes(fields, identifier))
        await writer.drain()
        await asyncio.sleep(0.01)
        if self.server:
            self.stage.record.write(f"crash of {self.id} by {identifier}")
            self.stage.crashes.append(time.monotonic())
            self.stop()
            asyncio.ensure_future(self.return_later())
        return False

    def first_bytes(self, _fields, identifier):
        """What has left the process when it crashes."""
        return self.stream_head(identifier)

    async def return_later(self):
        await asyncio.sleep(self.BACK_S)
        self.port = 0  # The kernel may have given the former one to another socket.
        await self.begin()


class Gateway:
    """One VM: a process with the command of the deploy file, and settings from its template."""

    def __init__(self, stage, index, ports):
        self.stage = stage
        self.name = f"edge-{index}"
        self.ip = f"127.0.0.{index + 2}"
        self.port, self.ready_port = ports[0], ports[1]
        fields = {"node": self.name, "zone": f"zone-{index % 3}", "ip": self.ip, "listen": {"front": f"{self.ip}:{ports[0]}", "ready": f"{self.ip}:{ports[1]}"},
                  "provider": {"address": stage.store.address}, "internal_ports": [ports[2], ports[3]], **SETTINGS}

        def value_of(match):
            value = fields
            for name in match.group(1).split("."):
                value = value[int(name)] if isinstance(value, list) else value[name]
            return json.dumps(value)

        template = (ROOT / stage.role["template"]).read_text()
        self.settings = stage.folder / f"{self.name}.json"
        self.settings.write_text(re.sub(r"\{\{([a-z_0-9.]+)\|json\}\}", value_of, template))
        self.log = open(stage.folder / f"{self.name}.log", "ab")
        self.process = None
        self.started_at = 0.0

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.stage.folder), "LANG": "C", "LENTILLOCK_BOOT": str(self.settings)}
        self.process = subprocess.Popen(self.stage.role["run"].split(), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.started_at = time.monotonic()

    def send(self, signal_number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal_number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b"GET /lentillock/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and " 200 " in answer[0]
        except (OSError, asyncio.TimeoutError):
            return False


class Stage:
    """Store, workers, gateways and what they saw."""

    def __init__(self, case_folder, temporary, gateway_count=3):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(temporary)
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        self.gateway_count = gateway_count
        self.store = Store()
        self.workers = []
        self.gateways = []
        self.arrivals = []
        self.sent = {}
        self.crashes = []
        self.deadly_part = None
        self.version = 1

    def publish(self, routes, services, tenants, limits=None):
        self.version += 2
        document = {"version": self.version, "routes": routes, "services": services, "tenants": tenants, "limits": {**LIMITS, **(limits or {})}}
        self.store.put("keyed.op", "config", document)
        self.record.write(f"desired state {self.version}")

    async def start_gateways(self):
        holders = [socket.socket() for _ in range(4)]
        for holder in holders:
            holder.bind(("127.0.0.2", 0))
        ports = [holder.getsockname()[1] for holder in holders]
        for holder in holders:
            holder.close()
        for index in range(self.gateway_count):
            self.gateways.append(Gateway(self, index, ports))
            self.gateways[-1].start()
        await self.wait_until_ready()

    async def wait_until_ready(self):
        for gateway in self.gateways:
            end = time.monotonic() + 10
            while not await gateway.is_ready():
                if time.monotonic() > end or gateway.process.poll() is not None:
                    raise CannotRun(f"{gateway.name} is not ready")
                await asyncio.sleep(0.05)

    async def kill_all(self, down_s):
        self.record.write("SIGKILL of all gateways")
        for gateway in self.gateways:
            gateway.send(signal.SIGKILL)
            gateway.process.wait()
        await asyncio.sleep(down_s)
        for gateway in self.gateways:
            gateway.start()
        self.record.write("all gateways are started again")

    def close(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()

    async def connect(self, index):
        gateway = self.gateways[index % len(self.gateways)]
        return await asyncio.wait_for(asyncio.open_connection(gateway.ip, gateway.port, limit=1 << 20), 1)

    async def ask(self, channel, identifier, method, path, fields, body=b"", wait_s=12.0):
        """Sends one request on @p channel and returns status, fields, body and whether the answer is whole. The status is 0 if the channel ends."""
        reader, writer = channel
        head = f"{method} {path} HTTP/1.1\r\nHost: case.example\r\nX-Request-Id: {identifier}\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields.items())
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.sent[identifier] = time.monotonic()
        self.record.write(f"sent {identifier} {method} {path}")
        result = (0, {}, b"", False)
        try:
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            result = await asyncio.wait_for(self.read_answer(reader), wait_s)
        except (OSError, asyncio.TimeoutError):
            pass
        text = result[2][:80].decode("latin-1").replace("\n", " ")
        self.record.write(f"answered {identifier} {result[0]} {'whole' if result[3] else 'not whole'} {result[1].get('x-server-stamp', '-')} {text}")
        return result

    async def read_answer(self, reader):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        except asyncio.IncompleteReadError:
            return 0, {}, b"", False
        fields = {line.partition(":")[0].strip().lower(): line.partition(":")[2].strip() for line in head[1:] if ":" in line}
        status = int(head[0].split(" ")[1])
        body = b""
        try:
            if fields.get("transfer-encoding") == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readexactly(2)
            else:
                body = await reader.readexactly(int(fields.get("content-length", 0)))
        except asyncio.IncompleteReadError:
            return status, fields, body, False
        return status, fields, body, True

    async def ask_once(self, index, *arguments, **named):
        """The same on a channel of its own."""
        try:
            channel = await self.connect(index)
        except (OSError, asyncio.TimeoutError):
            self.record.write(f"no channel to gateway {index % len(self.gateways)} for {arguments[0]}")
            return 0, {}, b"", False
        result = await self.ask(channel, *arguments, **named)
        channel[1].close()
        return result


def route(name, prefix, kind, service, timeout_ms, attempts, **more):
    return {"name": name, "host": "case.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1,
            "service": service, "max_attempts": attempts, "public": False, "sticky": False, "resumable": False, **more}


ORDER_ROUTE = route("issue", "/issue/", "non_idempotent", "desk", 800, 1)
STATUS_ROUTE = route("status", "/status/", "idempotent", "desk", 800, 2)
STREAM_ROUTE = route("check", "/check/", "streaming", "reader", 10000, 2, sticky=True, resumable=True, gap_aim_ms=250)
DESK_SERVICE = {"name": "desk", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": False}
READER_SERVICE = {"name": "reader", "health_path": "/healthz", "max_connections": 264, "protocol": "h1", "tls": False, "engine": ENGINE}
TENANTS = [{"name": "acme", "api_keys": ["key-acme"], "priority": 1}, {"name": "rival", "api_keys": ["key-rival"], "priority": 1}]


def main(case_folder, play, gateway_count=3):
    """Runs @p play with a stage. Its result is a list of what broke the rule."""

    async def run(temporary):
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        stage = Stage(case_folder, temporary, gateway_count)
        try:
            await stage.store.start()
            broken = await asyncio.wait_for(play(stage), 110)
        finally:
            stage.close()
        for line in broken:
            stage.record.write(f"BROKEN {line}")
        stage.record.write("the rule was broken" if broken else "the rule held")
        print("\n".join(broken) if broken else "the rule held")
        return BROKEN if broken else HELD

    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(run(temporary))
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        status = NOT_RUN
    sys.exit(status)
