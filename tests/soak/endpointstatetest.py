#!/usr/bin/env python3
"""Checks that gateways follow what endpoints say of themselves in responses: that they leave, and that they want no requests for a time.

The list of endpoints says nothing of either. Exit status: 0 if the limits below hold.
"""

import asyncio
import pathlib
import random
import sys
import tempfile
import time

from soak import DEFAULT_GATEWAYS, DRAIN_LIMIT, SoakTest
from standins import Endpoint, answer

RUN_SECONDS = 9.0
LEAVE_AFTER = 2.0
CLOSE_AFTER = 2.0
CLOSED_SECONDS = 2.5
REACTION = 0.5  # After this time from a rejection with Retry-After at most MAX_REQUESTS may reach the endpoint from the same VM.
MAX_REQUESTS = 2
MIN_SERVED_SHARE = 0.98


def vm_of(request_id):
    """The index of the gateway to which a request was sent: all of them have the same source address."""
    return int(request_id.split("-")[1]) % DEFAULT_GATEWAYS


class StatefulEndpoint(Endpoint):
    """Says that it leaves, or rejects requests for a time, after some seconds."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.begin = time.monotonic()
        self.role = "plain"
        self.leaving_said = {}  # By VM: when a response with the header was sent.
        self.closed_said = {}  # By VM: time and end of each rejection with Retry-After.
        self.closed_until = None
        self.arrivals = []

    async def run(self, start, headers, request_id, fault, writer):
        vm = vm_of(request_id)
        now = time.monotonic()
        self.arrivals.append((now, vm, request_id))
        if self.role == "closing" and now > self.begin + CLOSE_AFTER:
            self.closed_until = self.closed_until or now + CLOSED_SECONDS
            if now < self.closed_until:
                rest = self.closed_until - now
                self.closed_said.setdefault(vm, []).append((now, self.closed_until))
                writer.write(answer(503, headers={"X-Not-Executed": "1", "X-Request-Id": request_id, "Retry-After": f"{rest:.3f}"}))
                await writer.drain()
                return True
        if self.role == "leaving" and now > self.begin + LEAVE_AFTER:
            self.leaving_said.setdefault(vm, now + 0.05)  # The response takes up to 50 ms.
            headers["leaving"] = "1"
        return await super().run(start, headers, request_id, fault, LeavingWriter(writer) if "leaving" in headers else writer)


class LeavingWriter:
    """Adds the header of a leaving endpoint to each response head."""

    def __init__(self, writer):
        self.writer = writer
        self.transport = writer.transport

    def write(self, data):
        if data.startswith(b"HTTP/1.1 "):
            head, separator, rest = data.partition(b"\r\n")
            data = head + separator + b"Server-Leaving: 1\r\n" + rest
        self.writer.write(data)

    async def drain(self):
        await self.writer.drain()


class EndpointStateTest(SoakTest):
    async def add_endpoint(self):
        self.endpoint_count += 1
        endpoint = StatefulEndpoint(f"i-{self.endpoint_count}", "desk", self.checker, self.random.random())
        endpoint.incarnation = 1000 + self.endpoint_count
        await endpoint.start()
        self.proxies[endpoint] = endpoint
        self.endpoints.append(endpoint)
        self.register(endpoint)

    async def send(self, number):
        gateway = self.gateways[number % self.gateway_count]
        connection = await asyncio.open_connection(gateway.ip, gateway.port)
        outcome, _keep_alive = await self.send_request(connection, "safe", f"state-{number}")
        connection[1].close()
        return outcome


async def run(binary, folder):
    test = EndpointStateTest(binary, 1, 0, folder)
    await test.set_up()
    leaving, closing = test.endpoints[:2]
    for endpoint, role in ((leaving, "leaving"), (closing, "closing")):
        endpoint.role = role
        endpoint.begin = time.monotonic()
    rng = random.Random(23)
    begin = time.monotonic()
    sent_at = {}
    tasks = []
    while time.monotonic() - begin < RUN_SECONDS:
        await asyncio.sleep(rng.expovariate(60))
        number = len(tasks)
        sent_at[f"state-{number}"] = time.monotonic()
        tasks.append(asyncio.ensure_future(test.send(number)))
    outcomes = await asyncio.gather(*tasks)
    await test.stop_gateways()
    violations = list(test.checker.violations)
    late = [request_id for _at, vm, request_id in leaving.arrivals
            if vm in leaving.leaving_said and sent_at[request_id] > leaving.leaving_said[vm] + DRAIN_LIMIT]
    if late or not leaving.leaving_said:
        violations.append(f"DRAIN: {len(late)} requests reached the endpoint that leaves, on {len(leaving.leaving_said)} VMs")
    for vm, rejections in closing.closed_said.items():
        for at, until in rejections:
            count = sum(1 for arrived_at, source, _id in closing.arrivals if source == vm and at + REACTION < arrived_at < until)
            if count > MAX_REQUESTS:
                violations.append(f"BUDGET: {count} requests of VM {vm} reached the endpoint that wanted none")
                break
    if not closing.closed_said:
        violations.append("no request was rejected with Retry-After")
    if not [arrival for arrival in closing.arrivals if closing.closed_until and arrival[0] > closing.closed_until]:
        violations.append("the endpoint got no request after the end of its time")
    if outcomes.count("served") < MIN_SERVED_SHARE * len(outcomes):
        violations.append(f"LOST: {outcomes.count('served')} of {len(outcomes)} requests were served")
    print(f"{len(late)} late requests, {sum(map(len, closing.closed_said.values()))} rejections, {outcomes.count('served')} of {len(outcomes)} served")
    print("\n".join(violations))
    return 1 if violations else 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(asyncio.run(run(sys.argv[1], pathlib.Path(temporary))))
