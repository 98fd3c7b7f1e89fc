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

DEFAULT_GATEWAYS = 3
MIN_CALLERS = 12
ENDPOINTS = 4
ROUTE_TIMEOUT = 2.0
TOLERANCE = 0.75  # A response may arrive 0.5 s after the route's timeout; the other 0.25 s cover scheduling delays.
DRAIN_LIMIT = 2.0
REACTION_LIMIT = 0.5  # From then on, MAX_CLOSED_ARRIVALS requests may reach an endpoint that wants none from the same VM.
MAX_CLOSED_ARRIVALS = 2
RECOVERY_SECONDS = 4.0
MIN_RECOVERY_SHARE = 0.9
DRAIN_GRACE_MS = 4000
FAULT_KINDS = [
    "kill", "pause", "term", "reload", "store-busy", "store-reset", "store-silent", "store-lost", "store-cut", "endpoint-hang", "endpoint-lose",
    "endpoint-cut", "endpoint-error", "endpoint-full", "endpoint-extra", "proxy-reset", "proxy-delay", "proxy-silent", "proxy-one-way", "crash",
    "leave", "version", "revoke", "endpoint-says-leaving", "endpoint-closed",
]


class InvariantChecker:
    """Records what arrived and ran at the endpoints, the outcomes for callers, and which guarantees were broken."""

    def __init__(self):
        self.runs = {}
        self.last_run_at = {}  # By endpoint.
        self.drain_started_at = {}
        self.violations = []
        self.outcomes = {}
        self.store_disrupted_until = 0.0
        self.gateways = []
        self.sent_at = {}
        self.leaving_passed_at = {}  # By gateway, endpoint and incarnation.
        self.closed = {}  # By gateway and endpoint: time, end and number of later arrivals of each rejection with Retry-After.

    def gateway_of(self, request_id):
        caller = request_id.split("-")[0]
        return self.gateways[int(caller) % len(self.gateways)] if self.gateways and caller.isdigit() else None

    def record_leaving(self, request_id, head):
        """Records that a gateway has passed on a response of an endpoint that says that it leaves."""
        fields = dict(line.split(": ", 1) for line in head.lower().split("\r\n") if ": " in line)
        gateway = self.gateway_of(request_id)
        if gateway and fields.get("server-leaving") == "1":
            key = (gateway, fields["x-server-stamp"].removeprefix("stamp."), fields["x-incarnation"])
            self.leaving_passed_at.setdefault(key, time.monotonic())

    def record_closed(self, endpoint, request_id, until):
        gateway = self.gateway_of(request_id)
        if gateway:
            self.closed.setdefault((gateway, endpoint), []).append([time.monotonic(), until, 0])

    def check_statements(self, endpoint, request_id):
        """Checks an arrival against what the endpoint has said before to the same gateway, unless that was disrupted since."""
        gateway = self.gateway_of(request_id)
        now = time.monotonic()
        for rejection in self.closed.get((gateway, endpoint), []):
            said_at, until, _count = rejection
            disrupted = max(gateway.disrupted_until, gateway.started_at, endpoint.link_disrupted_until) > said_at
            if said_at + REACTION_LIMIT < now < until and not disrupted:
                rejection[2] += 1
                if rejection[2] > MAX_CLOSED_ARRIVALS:
                    self.report_violation("BUDGET", f"{request_id} reached {endpoint.instance_id} {now - said_at:.1f} s after its Retry-After")
        passed_at = self.leaving_passed_at.get((gateway, endpoint.instance_id, str(endpoint.incarnation)))
        if passed_at and self.sent_at.get(request_id, 0) > passed_at + DRAIN_LIMIT and max(gateway.disrupted_until, gateway.started_at) < passed_at:
            self.report_violation("DRAIN", f"{request_id} reached {endpoint.instance_id} {now - passed_at:.1f} s after it had said that it leaves")

    def report_violation(self, invariant, text):
        self.violations.append(f"{invariant}: {text}")

    def record_arrival(self, endpoint, request_id, start, headers):
        if "x-credential" in headers:
            self.report_violation("KEY", f"{request_id} was passed on with its key")
        if "/public/" not in start and headers.get("x-tenant") != "acme":
            self.report_violation("KEY", f"{request_id} arrived for workspace {headers.get('x-tenant')}")
        drain_start = self.drain_started_at.get(endpoint.instance_id)
        now = time.monotonic()
        if drain_start and now - drain_start > DRAIN_LIMIT + TOLERANCE and now > self.store_disrupted_until + 3:
            self.report_violation("DRAIN", f"{request_id} reached {endpoint.instance_id} {now - drain_start:.1f} s after it began to leave")

        self.check_statements(endpoint, request_id)

    def record_run(self, endpoint, request_id):
        self.runs.setdefault(request_id, []).append(endpoint.instance_id)
        self.last_run_at[endpoint.instance_id] = time.monotonic()

    def record_outcome(self, kind, request_id, outcome):
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        runs = len(self.runs.get(request_id, []))
        if kind == "once" and runs > 1:
            self.report_violation("TWICE", f"{request_id} ran on {self.runs[request_id]}")


class Gateway:
    def __init__(self, binary, index, ports, store_address, folder, more_settings=None):
        self.ip = f"127.0.0.{index + 2}"
        self.port = ports[0]
        self.metrics_port = ports[3]
        self.settings = folder / f"gateway-{index}.json"
        self.settings.write_text(json.dumps({
            "vm": f"vm-{index}", "zone": f"zone-{index % 2}", "ip": self.ip, "callerAddress": f"{self.ip}:{ports[0]}",
            "readinessAddress": f"{self.ip}:{ports[1]}", "storeAddress": store_address, "peerPort": ports[2], "metricsPort": ports[3],
            "drainGraceSeconds": DRAIN_GRACE_MS / 1000, **(more_settings or {})}))
        self.log_path = folder / f"gateway-{index}.log"
        self.log = open(self.log_path, "ab")
        self.binary = binary
        self.process = None
        self.started_at = 0.0
        self.restarting = False  # True while the process is being stopped and restarted by a fault.
        self.disrupted_until = 0.0

    def start(self):
        self.started_at = time.monotonic()
        environment = {"PATH": os.environ.get("PATH", ""), "LENTILLOCK_BOOT": str(self.settings)}
        self.process = subprocess.Popen([self.binary], stdout=self.log, stderr=self.log, env=environment)

    def send(self, signal_number):
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def extend_disruption(self, seconds):
        self.disrupted_until = max(self.disrupted_until, time.monotonic() + seconds)


class SoakTest:
    def __init__(self, binary, seed, seconds, folder, gateway_count=DEFAULT_GATEWAYS):
        self.random = random.Random(seed)
        self.gateway_count = gateway_count
        self.first_gateway = 0  # Tests that run side by side number their gateways differently, because their addresses follow from it.
        self.seconds = seconds
        self.checker = InvariantChecker()
        self.store = Store()
        self.binary = binary
        self.folder = folder
        self.gateways = []
        self.endpoints = []
        self.proxies = {}
        self.version = 1
        self.endpoint_count = 0
        self.route_timeout_ms = int(ROUTE_TIMEOUT * 1000)
        self.limits = {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.gateway_settings = {}
        self.recovery = {"asked": 0, "served": 0}
        self.recovery_started = False

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
            "limits": self.limits,
            "tenants": [{"name": "acme", "api_keys": ["key", f"other-{self.version}"], "priority": 1}],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def register(self, endpoint, state="ready"):
        entry = {"service": "desk", "address": self.proxies[endpoint].address, "zone": "zone-0", "version": "v1", "slots": 8, "state": state,
                 "cold_remaining_ms": 0, "sequence": 1, "born": endpoint.incarnation}
        self.store.put("keyed.servers", endpoint.instance_id, json.dumps(entry).encode())

    async def add_endpoint(self):
        self.endpoint_count += 1
        endpoint = Endpoint(f"i-{self.endpoint_count}", "desk", self.checker, self.random.random())
        endpoint.incarnation = 1000 + self.endpoint_count
        endpoint.link_disrupted_until = 0.0
        await endpoint.start()
        proxy = Proxy(endpoint.port)
        await proxy.start()
        self.proxies[endpoint] = proxy
        self.endpoints.append(endpoint)
        self.register(endpoint)

    async def add_direct_endpoint(self, endpoint_class):
        """Adds an endpoint without a proxy, so that a connection to it is refused when it has crashed."""
        self.endpoint_count += 1
        endpoint = endpoint_class(f"i-{self.endpoint_count}", "desk", self.checker, self.random.random())
        endpoint.test = self
        endpoint.incarnation = 1000 + self.endpoint_count
        endpoint.link_disrupted_until = 0.0
        await endpoint.start()
        self.proxies[endpoint] = endpoint
        self.endpoints.append(endpoint)
        self.register(endpoint)

    async def send_once(self, kind, number, prompt_parts=None):
        """Sends one request on a new connection, to a gateway that depends on its number, and returns the outcome."""
        gateway = self.gateways[number % self.gateway_count]
        connection = await asyncio.open_connection(gateway.ip, gateway.port)
        outcome, _keep_alive = await self.send_request(connection, kind, f"{number % self.gateway_count}-{kind}-{number}", prompt_parts)
        connection[1].close()
        return outcome

    async def set_up(self):
        await self.store.start()
        self.store_proxies = []
        self.publish()
        for _ in range(ENDPOINTS):
            await self.add_endpoint()
        ports = free_ports(4)
        for index in range(self.gateway_count):
            proxy = Proxy(self.store.port)
            await proxy.start()
            self.store_proxies.append(proxy)
            gateway = Gateway(self.binary, self.first_gateway + index, ports, proxy.address, self.folder, self.gateway_settings)
            gateway.start()
            self.gateways.append(gateway)
        self.checker.gateways = self.gateways
        await asyncio.sleep(1.5)

    # Faults

    async def inject_fault(self, kind):
        duration = self.random.uniform(0.3, 2.5)
        gateway = self.random.choice(self.gateways)
        endpoint = self.random.choice(self.endpoints)
        index = self.gateways.index(gateway)
        print(f"  {time.monotonic() - self.started_at:6.2f} s {kind} for {duration:.1f} s on {gateway.ip} {endpoint.instance_id}", flush=True)
        if kind in ("kill", "term"):
            if not gateway.restarting:
                gateway.restarting = True
                await self.restart(gateway, kind, duration)
                gateway.restarting = False
        elif kind == "pause":
            gateway.extend_disruption(duration + 3)
            gateway.send(signal.SIGSTOP)
            await asyncio.sleep(duration)
            gateway.send(signal.SIGCONT)
        elif kind == "reload":
            gateway.send(signal.SIGHUP)
        elif kind.startswith("store-"):
            self.checker.store_disrupted_until = time.monotonic() + duration
            await self.store_fault(kind, duration, index)
            self.checker.store_disrupted_until = time.monotonic()
        elif kind == "endpoint-closed":
            endpoint.closed_until = time.monotonic() + duration + 0.5
        elif kind == "endpoint-says-leaving":
            await self.say_leaving(endpoint)
        elif kind.startswith("endpoint-"):
            endpoint.fault = kind.removeprefix("endpoint-")
            await asyncio.sleep(duration)
            endpoint.fault = None
        elif kind.startswith("proxy-"):
            endpoint.link_disrupted_until = time.monotonic() + duration + 1
            await self.proxy_fault(kind, duration, self.proxies[endpoint])
        elif kind == "crash" and endpoint.server:
            await self.crash(endpoint, duration)
        elif kind == "leave" and len(self.endpoints) > 2:
            self.endpoints.remove(endpoint)
            await self.add_endpoint()
            self.register(endpoint, "draining")
            self.checker.drain_started_at[endpoint.instance_id] = time.monotonic()
            await asyncio.sleep(DRAIN_LIMIT + 3)
            self.store.put("keyed.servers", endpoint.instance_id, None)
        elif kind in ("version", "revoke"):
            self.publish()

    async def crash(self, endpoint, duration):
        endpoint.stop()
        self.proxies[endpoint].reset()
        await asyncio.sleep(duration)
        endpoint.incarnation += 1000
        endpoint.says_leaving = False
        endpoint.closed_until = 0.0
        endpoint.link_disrupted_until = time.monotonic()
        await endpoint.start()
        self.register(endpoint)

    async def say_leaving(self, endpoint):
        """The endpoint says that it leaves, without a word in the list, and starts again at the same address some seconds later."""
        endpoint.says_leaving = True
        await asyncio.sleep(DRAIN_LIMIT + 1)
        if endpoint.server and endpoint.says_leaving:
            await self.crash(endpoint, 0.3)

    async def restart(self, gateway, kind, duration):
        if kind == "kill":
            gateway.extend_disruption(duration + 3)
            gateway.send(signal.SIGKILL)
            gateway.process.wait()
            await asyncio.sleep(duration)
        else:
            gateway.send(signal.SIGTERM)
            await asyncio.get_running_loop().run_in_executor(None, gateway.process.wait)
        gateway.start()

    async def store_fault(self, kind, duration, index):
        if kind == "store-lost":
            self.store.response_loss_rate = 0.4
        elif kind == "store-cut":
            self.store_proxies[index].block_responses = True
        else:
            self.store.outage = kind.removeprefix("store-")
        await asyncio.sleep(duration)
        self.store.response_loss_rate = 0.0
        self.store.outage = None
        self.store_proxies[index].block_responses = False

    async def proxy_fault(self, kind, duration, proxy):
        if kind == "proxy-reset":
            proxy.reset()
        elif kind == "proxy-delay":
            proxy.delay = 0.05
        else:
            proxy.block_responses = True
            proxy.block_requests = kind == "proxy-silent"
        await asyncio.sleep(duration)
        proxy.delay = 0.0
        proxy.block_responses = proxy.block_requests = False

    async def inject_faults(self):
        pending = []
        end = self.started_at + self.seconds - RECOVERY_SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 0.9))
            pending.append(asyncio.ensure_future(self.inject_fault(self.random.choice(FAULT_KINDS))))
        await asyncio.gather(*pending)
        await asyncio.sleep(RECOVERY_SECONDS)
        self.recovery_started = True
        await asyncio.sleep(RECOVERY_SECONDS / 2)

    # Callers

    async def run_caller(self, caller_id):
        """Simulates one caller, which sends requests over persistent connections until the soak test ends."""
        rng = random.Random(caller_id * 7919 + 1)
        connection = None
        count = 0
        while not self.stopping:
            count += 1
            kind = rng.choice(["once", "safe", "stream"])
            request_id = f"{caller_id}-{count}"
            gateway = self.gateways[caller_id % self.gateway_count]
            started_at = time.monotonic()
            in_recovery = self.recovery_started
            try:
                if connection is None:
                    connection = await asyncio.wait_for(asyncio.open_connection(gateway.ip, gateway.port), 1)
                outcome, keep_alive = await asyncio.wait_for(self.send_request(connection, kind, request_id), ROUTE_TIMEOUT + 3)
            except asyncio.TimeoutError:
                outcome, keep_alive = "timeout", False
            except OSError:
                outcome, keep_alive = "unreachable", False
            elapsed = time.monotonic() - started_at
            stable = gateway.disrupted_until < started_at and gateway.process.poll() is None
            if outcome != "unreachable" and stable and elapsed > ROUTE_TIMEOUT + TOLERANCE and gateway.disrupted_until < time.monotonic() - elapsed:
                self.checker.report_violation("TIME", f"{request_id} ({kind}) took {elapsed:.2f} s: {outcome}")
            self.checker.record_outcome(kind, request_id, outcome)
            if outcome == "refused":
                self.refused.append((request_id, time.monotonic()))
            if in_recovery:
                self.recovery["asked"] += 1
                self.recovery["served"] += outcome == "served"
            if not keep_alive and connection:
                connection[1].close()
                connection = None
            await asyncio.sleep(rng.uniform(0.01, 0.1))

    async def send_request(self, connection, kind, request_id, prompt_parts=None):
        reader, writer = connection
        self.checker.sent_at[request_id] = time.monotonic()
        method = "GET" if kind == "safe" else "POST"
        length = "" if kind == "safe" else "Content-Length: 5\r\n"
        body = "" if kind == "safe" else "hello"
        prompt = f"X-Prompt-Prefix: {prompt_parts}\r\n" if prompt_parts else ""
        writer.write((f"{method} /{kind}/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {request_id}\r\nX-Credential: key\r\n"
                      f"X-Deadline-Ms: {self.route_timeout_ms}\r\n{prompt}{length}\r\n{body}").encode())
        await writer.drain()
        if kind == "stream":
            return await self.read_stream(reader, request_id)
        message = await read_message(reader)
        if message is None:
            return "closed", False
        return self.classify_response(message, kind, request_id)

    def classify_response(self, message, kind, request_id):
        start, headers, body = message
        self.checker.record_leaving(request_id, "\r\n".join(f"{name}: {value}" for name, value in headers.items()))
        status = int(start.split(" ")[1])
        keep_alive = headers.get("connection") != "close"
        if status == 200:
            if body != expected_body(request_id) or "x-server-stamp" not in headers:
                self.checker.report_violation("MIXED", f"{request_id} ({kind}) got {body!r}")
            return "served", keep_alive
        if status in (401, 403, 404):
            self.checker.report_violation("DENIED", f"{request_id} got {status}")
        return "refused" if status in (429, 503) else f"status-{status}", keep_alive

    async def read_stream(self, reader, request_id):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except (asyncio.IncompleteReadError, ConnectionError):
            return "closed", False
        self.checker.record_leaving(request_id, head)
        status = int(head.split(" ")[1])
        keep_alive = "connection: close" not in head.lower()
        if status != 200:
            length = [line for line in head.lower().split("\r\n") if line.startswith("content-length:")]
            await reader.readexactly(int(length[0].split(":")[1]) if length else 0)
            return ("refused" if status in (429, 503) else f"status-{status}"), keep_alive
        text = b""
        try:
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                text += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            expected = b"".join(expected_event(request_id, number) for number in range(Endpoint.EVENTS))
            if not expected.startswith(text):
                self.checker.report_violation("ORDER", f"{request_id} got {text!r} before its channel was cut")
            return "cut", False
        if text != b"".join(expected_event(request_id, number) for number in range(Endpoint.EVENTS)):
            self.checker.report_violation("ORDER", f"{request_id} ended as whole with {text!r}")
        return "served", keep_alive

    async def run(self):
        self.refused = []
        self.stopping = False
        await self.set_up()
        self.started_at = time.monotonic()
        callers = [asyncio.ensure_future(self.run_caller(number)) for number in range(max(MIN_CALLERS, self.gateway_count))]
        await self.inject_faults()
        self.stopping = True
        await asyncio.gather(*callers)
        for request_id, _when in self.refused:
            if request_id in self.checker.runs:
                self.checker.report_violation("REFUSED", f"{request_id} was refused as not run and ran on {self.checker.runs[request_id]}")
        share = self.recovery["served"] / max(1, self.recovery["asked"])
        if share < MIN_RECOVERY_SHARE:
            self.checker.report_violation("RECOVER", f"after the faults {self.recovery['served']} of {self.recovery['asked']} were served")
        await self.check_known_peers()
        await self.stop_gateways()
        for server in [self.store, *self.endpoints, *self.proxies.values(), *self.store_proxies]:
            server.stop()

    async def read_state(self, gateway):
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.metrics_port)
        writer.write(b"GET /state HTTP/1.1\r\nHost: soak.example\r\nConnection: close\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return json.loads(message[2])

    def kill_gateways(self):
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                gateway.process.kill()

    async def check_known_peers(self):
        """After the faults every gateway must include the loads of all others again."""
        for gateway in self.gateways:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(gateway.ip, gateway.metrics_port), 2)
                writer.write(b"GET /state HTTP/1.1\r\nHost: soak.example\r\nConnection: close\r\n\r\n")
                message = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
                known = json.loads(message[2])["peerVms"] if message else None
            except (OSError, asyncio.TimeoutError) as error:
                known = repr(error)
            if known != self.gateway_count - 1:
                self.checker.report_violation("PEERS", f"{gateway.ip} includes the loads of {known} of {self.gateway_count - 1} others")

    async def stop_gateways(self):
        for gateway in self.gateways:
            gateway.send(signal.SIGTERM)
        for gateway in self.gateways:
            try:
                status = await asyncio.get_running_loop().run_in_executor(None, lambda: gateway.process.wait(DRAIN_GRACE_MS / 1000 + 2))
                if status != 0:
                    self.checker.report_violation("STOP", f"{gateway.ip} ended with status {status}")
            except subprocess.TimeoutExpired:
                gateway.process.kill()
                self.checker.report_violation("STOP", f"{gateway.ip} had not stopped after its grace period")


def free_ports(count):
    """Finds ports for the gateways, free on 127.0.0.2. Every gateway uses the same ports on an address of its own."""
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
    parser.add_argument("--gateways", type=int, default=DEFAULT_GATEWAYS, help="number of gateways; more than 16 form groups by zone")
    parser.add_argument("--keep", help="folder for the logs of the gateways")
    options = parser.parse_args()
    seeds = (options.seed or []) + [random.SystemRandom().randrange(1 << 32) for _ in range(options.runs)]
    failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(options.keep or temporary) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            print(f"seed {seed}", flush=True)
            soak_test = SoakTest(options.binary, seed, options.seconds, folder, options.gateways)
            try:
                asyncio.run(soak_test.run())
            finally:
                soak_test.kill_gateways()
            print(f"  outcomes {soak_test.checker.outcomes}", flush=True)
            for line in soak_test.checker.violations[:20]:
                print(f"  BROKEN {line}", flush=True)
            failed += bool(soak_test.checker.violations)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
