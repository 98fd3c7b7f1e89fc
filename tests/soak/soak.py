#!/usr/bin/env python3
"""Runs lentillock-gateway processes against stand-ins on loopback, disturbs them, and checks the promises of the manual meanwhile.

Faults come from outside the processes: signals, a proxy before the store and before each endpoint, and the stand-ins themselves. They are
drawn from the seed and overlap. Exits with 0 only if no promise was broken.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standins import Endpoint, Proxy, Store, expected_body, expected_event, read_message

GATEWAYS = 3
ENDPOINTS = 4
TIME_LIMIT = 2.0
ANSWER_SLACK = 0.75  # The route's timeout may be exceeded by half a second; the rest is this machine's.
DRAIN_BOUND = 2.0
QUIET_TAIL = 4.0
RECOVERY_SHARE = 0.9
GRACE_MS = 4000
FAULT_KINDS = [
    "kill", "pause", "term", "reload", "store-busy", "store-reset", "store-silent", "store-lost", "store-cut", "endpoint-hang", "endpoint-lose",
    "endpoint-cut", "endpoint-error", "endpoint-full", "endpoint-extra", "proxy-reset", "proxy-delay", "proxy-silent", "proxy-one-way", "crash",
    "leave", "version", "revoke",
]


class Journal:
    """What endpoints and callers have seen, and the promises that were broken."""

    def __init__(self):
        self.runs = {}
        self.left_at = {}
        self.broken = []
        self.outcomes = {}
        self.store_disturbed_until = 0.0

    def report(self, promise, text):
        self.broken.append(f"{promise}: {text}")

    def arrived(self, endpoint, request_id, start, fields):
        if "x-credential" in fields:
            self.report("KEY", f"{request_id} was passed on with its key")
        if "/public/" not in start and fields.get("x-tenant") != "acme":
            self.report("KEY", f"{request_id} arrived for workspace {fields.get('x-tenant')}")
        left = self.left_at.get(endpoint.identity)
        now = time.monotonic()
        if left and now - left > DRAIN_BOUND + ANSWER_SLACK and now > self.store_disturbed_until + 3:
            self.report("DRAIN", f"{request_id} reached {endpoint.identity} {now - left:.1f} s after it began to leave")

    def ran(self, endpoint, request_id):
        self.runs.setdefault(request_id, []).append(endpoint.identity)

    def finished(self, kind, request_id, outcome):
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        runs = len(self.runs.get(request_id, []))
        if kind == "once" and runs > 1:
            self.report("TWICE", f"{request_id} ran on {self.runs[request_id]}")


class Gateway:
    def __init__(self, binary, index, ports, store_address, folder):
        self.ip = f"127.0.0.{index + 2}"
        self.port = ports[0]
        self.settings = folder / f"gateway-{index}.json"
        self.settings.write_text(json.dumps({
            "vm": f"vm-{index}", "zone": f"zone-{index % 2}", "ip": self.ip, "callerAddress": f"{self.ip}:{ports[0]}",
            "readinessAddress": f"{self.ip}:{ports[1]}", "storeAddress": store_address, "peerPort": ports[2], "metricsPort": ports[3],
            "drainGrace": GRACE_MS}))
        self.log = open(folder / f"gateway-{index}.log", "ab")
        self.binary = binary
        self.process = None
        self.busy = False  # It is being stopped and started by a fault.
        self.disturbed_until = 0.0

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "LENTILLOCK_BOOT": str(self.settings)}
        self.process = subprocess.Popen([self.binary], stdout=self.log, stderr=self.log, env=environment)

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def disturb(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)


class Soak:
    def __init__(self, binary, seed, seconds, folder):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.journal = Journal()
        self.store = Store()
        self.binary = binary
        self.folder = folder
        self.gateways = []
        self.endpoints = []
        self.proxies = {}
        self.version = 1
        self.number = 0
        self.route_timeout_ms = int(TIME_LIMIT * 1000)
        self.tail = {"asked": 0, "served": 0}
        self.tail_started = False

    def publish(self):
        self.version += self.random.randrange(1, 4)
        route = {"host": "soak.example", "timeout_ms": self.route_timeout_ms, "target_latency_ms": 300, "priority": 1, "service": "desk"}
        routes = [
            {**route, "name": "once", "path_prefix": "/once/", "kind": "non_idempotent", "max_attempts": 1},
            {**route, "name": "safe", "path_prefix": "/safe/", "kind": "idempotent", "max_attempts": 2},
            {**route, "name": "stream", "path_prefix": "/stream/", "kind": "streaming", "max_attempts": 3, "resumable": True, "gap_aim_ms": 250},
        ]
        document = {
            "version": self.version, "routes": routes,
            "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 200}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "acme", "api_keys": ["key", f"other-{self.version}"], "priority": 1}],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def register(self, endpoint, state="ready"):
        entry = {"service": "desk", "address": self.proxies[endpoint].address, "zone": "zone-0", "version": "v1", "slots": 8, "state": state,
                 "cold_remaining_ms": 0, "sequence": 1, "born": endpoint.born}
        self.store.put("keyed.servers", endpoint.identity, json.dumps(entry).encode())

    async def add_endpoint(self):
        self.number += 1
        endpoint = Endpoint(f"i-{self.number}", "desk", self.journal, self.random.random())
        endpoint.born = 1000 + self.number
        await endpoint.start()
        proxy = Proxy(endpoint.port)
        await proxy.start()
        self.proxies[endpoint] = proxy
        self.endpoints.append(endpoint)
        self.register(endpoint)

    async def set_up(self):
        await self.store.start()
        self.store_proxies = []
        self.publish()
        for _ in range(ENDPOINTS):
            await self.add_endpoint()
        ports = free_ports(4)
        for index in range(GATEWAYS):
            proxy = Proxy(self.store.port)
            await proxy.start()
            self.store_proxies.append(proxy)
            gateway = Gateway(self.binary, index, ports, proxy.address, self.folder)
            gateway.start()
            self.gateways.append(gateway)
        await asyncio.sleep(1.5)

    # Faults

    async def fault(self, kind):
        length = self.random.uniform(0.3, 2.5)
        gateway = self.random.choice(self.gateways)
        endpoint = self.random.choice(self.endpoints)
        index = self.gateways.index(gateway)
        print(f"  {time.monotonic() - self.began:6.2f} s {kind} for {length:.1f} s on {gateway.ip} {endpoint.identity}", flush=True)
        if kind in ("kill", "term"):
            if not gateway.busy:
                gateway.busy = True
                await self.restart(gateway, kind, length)
                gateway.busy = False
        elif kind == "pause":
            gateway.disturb(length + 3)
            gateway.send(signal.SIGSTOP)
            await asyncio.sleep(length)
            gateway.send(signal.SIGCONT)
        elif kind == "reload":
            gateway.send(signal.SIGHUP)
        elif kind.startswith("store-"):
            self.journal.store_disturbed_until = time.monotonic() + length
            await self.store_fault(kind, length, index)
            self.journal.store_disturbed_until = time.monotonic()
        elif kind.startswith("endpoint-"):
            endpoint.fault = kind.removeprefix("endpoint-")
            await asyncio.sleep(length)
            endpoint.fault = None
        elif kind.startswith("proxy-"):
            await self.proxy_fault(kind, length, self.proxies[endpoint])
        elif kind == "crash" and endpoint.server:
            endpoint.stop()
            self.proxies[endpoint].reset()
            await asyncio.sleep(length)
            endpoint.born += 1000
            await endpoint.start()
            self.register(endpoint)
        elif kind == "leave" and len(self.endpoints) > 2:
            self.endpoints.remove(endpoint)
            await self.add_endpoint()
            self.register(endpoint, "draining")
            self.journal.left_at[endpoint.identity] = time.monotonic()
            await asyncio.sleep(DRAIN_BOUND + 3)
            self.store.put("keyed.servers", endpoint.identity, None)
        elif kind in ("version", "revoke"):
            self.publish()

    async def restart(self, gateway, kind, length):
        if kind == "kill":
            gateway.disturb(length + 3)
            gateway.send(signal.SIGKILL)
            gateway.process.wait()
            await asyncio.sleep(length)
        else:
            gateway.send(signal.SIGTERM)
            await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
        gateway.start()

    async def store_fault(self, kind, length, index):
        if kind == "store-lost":
            self.store.lose_answers = 0.4
        elif kind == "store-cut":
            self.store_proxies[index].silent_back = True
        else:
            self.store.down = kind.removeprefix("store-")
        await asyncio.sleep(length)
        self.store.lose_answers = 0.0
        self.store.down = None
        self.store_proxies[index].silent_back = False

    async def proxy_fault(self, kind, length, proxy):
        if kind == "proxy-reset":
            proxy.reset()
        elif kind == "proxy-delay":
            proxy.delay = 0.05
        else:
            proxy.silent_back = True
            proxy.silent_forward = kind == "proxy-silent"
        await asyncio.sleep(length)
        proxy.delay = 0.0
        proxy.silent_back = proxy.silent_forward = False

    async def faults(self):
        pending = []
        end = self.began + self.seconds - QUIET_TAIL
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 0.9))
            pending.append(asyncio.ensure_future(self.fault(self.random.choice(FAULT_KINDS))))
        await asyncio.gather(*pending)
        await asyncio.sleep(QUIET_TAIL)
        self.tail_started = True
        await asyncio.sleep(QUIET_TAIL / 2)

    # Callers

    async def caller(self, number):
        """Sends requests over kept channels until the soak ends."""
        draw = random.Random(number * 7919 + 1)
        channel = None
        count = 0
        while not self.stopping:
            count += 1
            kind = draw.choice(["once", "safe", "stream"])
            request_id = f"{number}-{count}"
            gateway = self.gateways[number % GATEWAYS]
            began = time.monotonic()
            counted = self.tail_started
            try:
                if channel is None:
                    channel = await asyncio.wait_for(asyncio.open_connection(gateway.ip, gateway.port), 1)
                outcome, keep = await asyncio.wait_for(self.ask(channel, kind, request_id), TIME_LIMIT + 3)
            except asyncio.TimeoutError:
                outcome, keep = "timeout", False
            except OSError:
                outcome, keep = "unreachable", False
            took = time.monotonic() - began
            healthy = gateway.disturbed_until < began and gateway.process.poll() is None
            if outcome != "unreachable" and healthy and took > TIME_LIMIT + ANSWER_SLACK and gateway.disturbed_until < time.monotonic() - took:
                self.journal.report("TIME", f"{request_id} ({kind}) took {took:.2f} s: {outcome}")
            self.journal.finished(kind, request_id, outcome)
            if outcome == "refused":
                self.refused.append((request_id, time.monotonic()))
            if counted:
                self.tail["asked"] += 1
                self.tail["served"] += outcome == "served"
            if not keep and channel:
                channel[1].close()
                channel = None
            await asyncio.sleep(draw.uniform(0.01, 0.1))

    async def ask(self, channel, kind, request_id):
        reader, writer = channel
        method = "GET" if kind == "safe" else "POST"
        length = "" if kind == "safe" else "Content-Length: 5\r\n"
        body = "" if kind == "safe" else "hello"
        writer.write((f"{method} /{kind}/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {request_id}\r\nX-Credential: key\r\n"
                      f"X-Deadline-Ms: {self.route_timeout_ms}\r\n{length}\r\n{body}").encode())
        await writer.drain()
        if kind == "stream":
            return await self.read_stream(reader, request_id)
        message = await read_message(reader)
        if message is None:
            return "closed", False
        return self.judge(message, kind, request_id)

    def judge(self, message, kind, request_id):
        start, fields, body = message
        status = int(start.split(" ")[1])
        keep = fields.get("connection") != "close"
        if status == 200:
            if body != expected_body(request_id) or "x-server-stamp" not in fields:
                self.journal.report("MIXED", f"{request_id} ({kind}) got {body!r}")
            return "served", keep
        if status in (401, 403, 404):
            self.journal.report("DENIED", f"{request_id} got {status}")
        return "refused" if status in (429, 503) else f"status-{status}", keep

    async def read_stream(self, reader, request_id):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except (asyncio.IncompleteReadError, ConnectionError):
            return "closed", False
        status = int(head.split(" ")[1])
        keep = "connection: close" not in head.lower()
        if status != 200:
            length = [line for line in head.lower().split("\r\n") if line.startswith("content-length:")]
            await reader.readexactly(int(length[0].split(":")[1]) if length else 0)
            return ("refused" if status in (429, 503) else f"status-{status}"), keep
        text = b""
        try:
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                text += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            whole = b"".join(expected_event(request_id, number) for number in range(Endpoint.EVENTS))
            if not whole.startswith(text):
                self.journal.report("ORDER", f"{request_id} got {text!r} before its channel was cut")
            return "cut", False
        if text != b"".join(expected_event(request_id, number) for number in range(Endpoint.EVENTS)):
            self.journal.report("ORDER", f"{request_id} ended as whole with {text!r}")
        return "served", keep

    async def run(self):
        self.refused = []
        self.stopping = False
        await self.set_up()
        self.began = time.monotonic()
        callers = [asyncio.ensure_future(self.caller(number)) for number in range(12)]
        await self.faults()
        self.stopping = True
        await asyncio.gather(*callers)
        for request_id, _when in self.refused:
            if request_id in self.journal.runs:
                self.journal.report("REFUSED", f"{request_id} was refused as not run and ran on {self.journal.runs[request_id]}")
        share = self.tail["served"] / max(1, self.tail["asked"])
        if share < RECOVERY_SHARE:
            self.journal.report("RECOVER", f"after the faults {self.tail['served']} of {self.tail['asked']} were served")
        await self.stop_gateways()
        for server in [self.store, *self.endpoints, *self.proxies.values(), *self.store_proxies]:
            server.stop()

    async def stop_gateways(self):
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            try:
                status = await asyncio.get_running_loop().run_in_executor(None, lambda: gateway.process.wait(GRACE_MS / 1000 + 2))
                if status != 0:
                    self.journal.report("STOP", f"{gateway.ip} ended with status {status}")
            except subprocess.TimeoutExpired:
                gateway.process.kill()
                self.journal.report("STOP", f"{gateway.ip} had not stopped after its grace period")


def free_ports(count):
    """Ports that are free on all the loopback addresses of the gateways."""
    sockets = []
    while len(sockets) < count:
        candidate = socket.socket()
        candidate.bind(("127.0.0.2", 0))
        sockets.append(candidate)
    ports = [entry.getsockname()[1] for entry in sockets]
    for entry in sockets:
        entry.close()
    return ports


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", help="the program lentillock-gateway")
    parser.add_argument("--seed", type=int, action="append", help="seed of one run; may be given several times")
    parser.add_argument("--runs", type=int, default=0, help="further runs with fresh seeds")
    parser.add_argument("--seconds", type=float, default=12, help="length of each run, in seconds")
    parser.add_argument("--keep", help="folder for the logs of the gateways")
    options = parser.parse_args()
    seeds = (options.seed or []) + [random.SystemRandom().randrange(1 << 32) for _ in range(options.runs)]
    failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(options.keep or temporary) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            print(f"seed {seed}", flush=True)
            soak = Soak(options.binary, seed, options.seconds, folder)
            try:
                asyncio.run(soak.run())
            finally:
                for gateway in soak.gateways:
                    if gateway.process.poll() is None:
                        gateway.process.kill()
            print(f"  outcomes {soak.journal.outcomes}", flush=True)
            for line in soak.journal.broken[:20]:
                print(f"  BROKEN {line}", flush=True)
            failed += bool(soak.journal.broken)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
