#!/usr/bin/env python3
"""Checks that a crowd of callers that do not behave neither ends a gateway nor keeps it from answering an ordinary caller.

Guards against callers that together take all memory or descriptors of a VM. The crowd stays connected while the process, its memory, its descriptors and
one ordinary request are checked. Exit status: 0 if the bounds below hold.
"""

import argparse
import asyncio
import os
import pathlib
import resource
import socket
import subprocess
import sys
import tempfile
import time

from soak import SoakTest
from standins import Endpoint, answer, expected_body, read_message

MEBIBYTE = 1 << 20
MAX_BODY = MEBIBYTE
CROWD = 60
MISSING = 7  # Bytes that a body stops short of its end.
MEMORY_LIMIT = 8 * MEBIBYTE  # Of the bytes that the gateway may hold for callers.
MAX_GROWTH = 24 * MEBIBYTE  # Of the resident memory and of what the kernel holds for the gateway's connections with callers.
CONNECTION_LIMIT = 100
CONNECTION_CROWD = 250
DESCRIPTORS = 180  # Of the process.
MAX_DESCRIPTORS = 160
SETTLE_SECONDS = 20.0  # For the crowd to send all that is taken. Not a bound on the gateway.
ORDINARY_ATTEMPTS = 5  # A refusal may tell an ordinary caller to come back.
LARGE_REQUEST = 100_000
EVENT_BYTES = 64 * 1024
STREAM_EVENTS = 32


class CrowdEndpoint(Endpoint):
    """Does not answer large requests, and answers streams with much more than a connection buffers."""

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            _start, headers, body = message
            if len(body) >= LARGE_REQUEST:
                await asyncio.sleep(3600)
            request_id = headers.get("x-request-id", "")
            stamp = {"X-Request-Id": request_id, "X-Server-Stamp": f"stamp.{self.instance_id}"}
            if "/stream/" in message[0]:
                await self.stream_much(request_id, stamp, writer)
            else:
                self.test.last_body = body
                writer.write(answer(200, expected_body(request_id), stamp))
            await writer.drain()

    async def stream_much(self, request_id, stamp, writer):
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        writer.write((text + "".join(f"{name}: {value}\r\n" for name, value in stamp.items())).encode() + b"\r\n")
        for number in range(STREAM_EVENTS):
            event = f"id: {number}\ndata: {request_id} ".encode() + b"x" * EVENT_BYTES + b"\n\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class CrowdTest(SoakTest):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.limits = {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY, "header_timeout_ms": 60000, "idle_timeout_ms": 60000}
        self.route_timeout_ms = 60000
        known = subprocess.run([self.binary, "--help"], capture_output=True, text=True, check=False).stdout
        limits = {"callerMemoryMegabytes": MEMORY_LIMIT // MEBIBYTE, "callerConnections": CONNECTION_LIMIT}
        self.gateway_settings = {name: value for name, value in limits.items() if name in known}
        self.members = []
        self.last_body = b""

    async def add_endpoint(self):
        await self.add_direct_endpoint(CrowdEndpoint)

    @property
    def process_id(self):
        return self.gateways[0].process.pid

    def is_alive(self):
        return self.gateways[0].process.poll() is None

    def peak_resident_bytes(self):
        for line in pathlib.Path(f"/proc/{self.process_id}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    def kernel_bytes(self):
        """Bytes that the kernel holds, unread or unsent, for the connections of the gateway with callers."""
        gateway = self.gateways[0]
        address = socket.inet_aton(gateway.ip)[::-1].hex().upper() + f":{gateway.port:04X}"
        total = 0
        for line in pathlib.Path(f"/proc/{self.process_id}/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1] == address:
                total += sum(int(size, 16) for size in fields[4].split(":"))
        return total

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process_id}/fd"))

    def head(self, number, kind="once", more=""):
        return (f"POST /{kind}/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: 0-{kind}-{number}\r\nX-Credential: key\r\n"
                f"X-Deadline-Ms: 60000\r\n{more}\r\n").encode()

    async def join(self, number, parts):
        """One of the crowd: connects, sends @p parts while they are taken, and stays connected without reading."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(connection, (self.gateways[0].ip, self.gateways[0].port))
            for part in parts:
                await loop.sock_sendall(connection, part)
        except OSError:
            pass  # Refused or closed.
        self.members.append(connection)

    def short_bodies(self, number):
        yield self.head(number, more=f"Content-Length: {MAX_BODY}\r\n") + b"x" * (MAX_BODY - MISSING)

    def whole_bodies(self, number):
        yield self.head(number, more=f"Content-Length: {MAX_BODY}\r\n") + b"x" * MAX_BODY

    def chunked_bodies(self, number, size, end=b""):
        yield self.head(number, more="Transfer-Encoding: chunked\r\n")
        chunk = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
        count = (MAX_BODY - MISSING) // size
        batch = max(1, 65536 // len(chunk))
        for first in range(0, count, batch):
            yield chunk * min(batch, count - first)
        yield end

    def large_chunks(self, number):
        return self.chunked_bodies(number, 32768)

    def small_chunks(self, number):
        return self.chunked_bodies(number, 16)

    def too_large(self, number):
        if number % 2 == 0:
            yield self.head(number, more=f"Content-Length: {1000 * MAX_BODY}\r\n")
        else:
            yield self.head(number, more="Transfer-Encoding: chunked\r\n")
        for _ in range(8 * MAX_BODY // 65536):
            yield b"10000\r\n" + b"x" * 65536 + b"\r\n"

    def unread_answers(self, number):
        yield self.head(number, "stream", "Content-Length: 0\r\n")

    def connections(self, number):
        yield self.head(number)[:40]

    async def ask(self, number, parts):
        """One ordinary request, which is sent again after a refusal. Returns the last status, or 0 without an answer."""
        status = 0
        for attempt in range(ORDINARY_ATTEMPTS):
            try:
                reader, writer = await asyncio.open_connection(self.gateways[0].ip, self.gateways[0].port)
                for part in parts(f"{number}-{attempt}"):
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0.02)
                message = await asyncio.wait_for(read_message(reader), SETTLE_SECONDS)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                message = None
            status = int(message[0].split(" ")[1]) if message else 0
            if status == 200:
                break
            await asyncio.sleep(float(message[1].get("retry-after", 0.5)) if message else 0.5)
        return status

    def ordinary(self, number):
        yield self.head(number, more="Content-Length: 4\r\n") + b"text"

    def ordinary_chunked(self, number):
        yield self.head(number, more="Transfer-Encoding: chunked\r\n")
        for part in (b"3\r\nabc\r\n", b"2\r\nd", b"e\r\n0\r", b"\n\r\n"):
            yield part


async def run(options, folder):
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    test = CrowdTest(options.binary, 1, 0, folder, 1)
    await test.set_up()
    violations = []
    if options.crowd == "connections":
        resource.prlimit(test.process_id, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    if options.crowd in ("large-chunks", "small-chunks"):
        status = await test.ask("calm", test.ordinary_chunked)
        if status != 200 or test.last_body != b"abcde":
            violations.append(f"SERVED: one chunked request in calm got {status}, and its endpoint {test.last_body!r}")
    at_rest = test.peak_resident_bytes()
    parts = getattr(test, options.crowd.replace("-", "_"))
    size = CONNECTION_CROWD if options.crowd == "connections" else CROWD
    crowd = [asyncio.ensure_future(test.join(number, parts(number))) for number in range(size)]
    begin = time.monotonic()
    kernel = descriptors = 0
    while not all(member.done() for member in crowd) and time.monotonic() - begin < SETTLE_SECONDS and test.is_alive():
        await asyncio.sleep(0.1)
        kernel = max(kernel, test.kernel_bytes())
        descriptors = max(descriptors, test.descriptors())
    await asyncio.sleep(1)
    status = 0
    if test.is_alive():
        status = await test.ask("after", test.ordinary)
    if not test.is_alive():
        violations.append("ALIVE: the process has ended")
    else:
        growth = test.peak_resident_bytes() - at_rest
        kernel = max(kernel, test.kernel_bytes())
        descriptors = max(descriptors, test.descriptors())
        print(f"{growth / MEBIBYTE:.1f} MiB more resident, {kernel / MEBIBYTE:.1f} MiB in the kernel, {descriptors} descriptors, status {status}")
        if growth + kernel > MAX_GROWTH:
            violations.append(f"MEMORY: {(growth + kernel) / MEBIBYTE:.1f} MiB for the crowd")
        if descriptors > MAX_DESCRIPTORS:
            violations.append(f"DESCRIPTORS: {descriptors}")
        if status != 200:
            violations.append(f"SERVED: an ordinary request got {status}")
    for member in crowd:
        member.cancel()
    for connection in test.members:
        connection.close()
    test.kill_gateways()
    print("\n".join(violations))
    return 1 if violations else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", help="the program lentillock-gateway")
    parser.add_argument("crowd", choices=["short-bodies", "whole-bodies", "large-chunks", "small-chunks", "too-large", "unread-answers", "connections"])
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(run(options, pathlib.Path(temporary)))


if __name__ == "__main__":
    sys.exit(main())
