#!/usr/bin/env python3
"""Checks that the silence of an endpoint ends no response while no other endpoint has taken the request over.

Guards against streams that were cut after a pause of their endpoint, because all others were full, and against idempotent requests that failed for the
same reason. Exit status: 0 if the limits below hold.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time

from soak import SoakTest
from standins import Endpoint, answer, expected_body, expected_event

PAUSE_SECONDS = 1.7  # Callers wait for two seconds.
ROUTE_TIMEOUT_MS = 3000
PAUSED_EVENT = 3
SUSPENSION_SECONDS = 1.5  # After this time the endpoints that failed in the case before get requests again.
REQUESTS = 10


class PausingEndpoint(Endpoint):
    """Rejects requests while it is full. Otherwise it pauses in each response, if it is to pause."""

    is_full = False
    pauses_at = None  # Number of the event before which it pauses; any number for a response that is not a stream.
    pause_seconds = PAUSE_SECONDS
    crashes_after_pause = False

    async def run(self, start, headers, request_id, fault, writer):
        if self.is_full:
            self.checker.runs[request_id].remove(self.instance_id)
            writer.write(answer(503, headers={"X-Not-Executed": "1", "X-Request-Id": request_id}))
            await writer.drain()
            return True
        stamp = {"X-Request-Id": request_id, "X-Server-Stamp": f"stamp.{self.instance_id}"}
        if "/stream/" not in start:
            await asyncio.sleep(self.pause_seconds if self.pauses_at is not None else 0.01)
            writer.write(answer(200, expected_body(request_id), stamp))
            await writer.drain()
            return True
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in stamp.items())
        writer.write(text.encode() + b"\r\n")
        for number in range(int(headers.get("last-event-id", -1)) + 1, self.EVENTS):
            await asyncio.sleep(self.pause_seconds if number == self.pauses_at else self.EVENT_INTERVAL)
            if number == self.pauses_at and self.crashes_after_pause:
                writer.transport.abort()
                return False
            event = expected_event(request_id, number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class SilentEndpointTest(SoakTest):
    async def add_endpoint(self):
        await self.add_direct_endpoint(PausingEndpoint)

    async def send_all(self, kind, first):
        """Sends REQUESTS requests at the same time. Returns the outcomes, and the longest time that one took."""
        began = time.monotonic()
        outcomes = await asyncio.gather(*(self.send_once(kind, first + number) for number in range(REQUESTS)))
        return outcomes, time.monotonic() - began

    def set_endpoints(self, pausing, full, pauses_at, **more):
        for endpoint in self.endpoints:
            endpoint.is_full = endpoint in full
            endpoint.pauses_at = pauses_at if endpoint in pausing else None
            endpoint.pause_seconds = more.get("pause_seconds", PAUSE_SECONDS)
            endpoint.crashes_after_pause = more.get("crashes", False)


async def run(binary, folder):
    test = SilentEndpointTest(binary, 1, 0, folder)
    test.route_timeout_ms = ROUTE_TIMEOUT_MS
    test.gateway_settings = {"repeatSlack": 1000}  # Rejections of full endpoints must not use up the retry budget.
    await test.set_up()
    pausing, *others = test.endpoints
    violations = test.checker.violations
    number = 0

    async def check(name, kind, expected, limit_seconds, **setting):
        nonlocal number
        test.set_endpoints(**setting)
        await asyncio.sleep(SUSPENSION_SECONDS)
        outcomes, seconds = await test.send_all(kind, number)
        number += REQUESTS
        print(f"{name}: { {outcome: outcomes.count(outcome) for outcome in set(outcomes)} } in {seconds:.2f} s")
        if set(outcomes) - {expected} or seconds > limit_seconds:
            violations.append(f"LOST: {name}: {outcomes} in {seconds:.2f} s")

    full = {"pausing": [pausing], "full": others, "pauses_at": PAUSED_EVENT}
    await check("a stream pauses, the others are full", "stream", "served", 3, **full)
    await check("a stream pauses before its first event, the others are full", "stream", "served", 3, **{**full, "pauses_at": 0})
    await check("an idempotent request takes over half of its timeout, the others are full", "safe", "served", 3, **full)
    await check("the endpoint resets the connection after the pause, the others are full", "stream", "cut", 3, **full, crashes=True)
    # A takeover ends the pause: the first endpoint would be silent for longer than the whole test takes.
    dead = {"pausing": [pausing], "full": [], "pauses_at": PAUSED_EVENT, "pause_seconds": 2.6}
    await check("a stream is silent, the others are free", "stream", "served", 2.4, **dead)
    # All endpoints pause for longer than the gateway waits: whichever responds first is used, and no event comes twice.
    both = {"pausing": test.endpoints, "full": [], "pauses_at": PAUSED_EVENT, "pause_seconds": 1.4}
    await check("all endpoints pause", "stream", "served", 3, **both)
    # During a planned stop, what waits for a silent endpoint is answered.
    test.set_endpoints(**full)
    await asyncio.sleep(SUSPENSION_SECONDS)
    stopped = test.gateways[0]
    sending = [asyncio.ensure_future(test.send_once("stream", 3 * (number + index))) for index in range(REQUESTS)]
    await asyncio.sleep(0.3)
    stopped.send(signal.SIGTERM)
    outcomes = await asyncio.gather(*sending)
    print(f"planned stop: { {outcome: outcomes.count(outcome) for outcome in set(outcomes)} }")
    if outcomes.count("served") < REQUESTS:
        violations.append(f"LOST: planned stop: {outcomes}")
    await test.stop_gateways()
    print("\n".join(violations))
    return 1 if violations else 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(asyncio.run(run(sys.argv[1], pathlib.Path(temporary))))
