#!/usr/bin/env python3
"""Checks that a gateway that is being stopped completes every request that it accepts, and refuses later ones.

Guards against a stream that was accepted 3.3 s after the stop signal and cut off at the end of the grace period, and against requests that are still
running then and whose connections were closed without a response.
Exit status: 0 if every request was either finished or refused as not run.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile

from soak import SoakTest
from standins import Endpoint, answer, read_message

STREAM_SECONDS = 2.4
SLOW_SECONDS = 6.0
LATE_DELAYS = [0.1, 1.4, 2.3, 2.7, 2.9]
BODY_DELAY = 0.6
SEND_DELAYS = [0.1, 0.8, 2.7, 3.2]  # Seconds after the stop signal; the grace period is 4 s.


class SlowEndpoint(Endpoint):
    """Takes longer for each request than the grace period lasts. Rejects requests while it is full."""

    is_full = False

    async def run(self, start, headers, request_id, fault, writer):
        if self.is_full:
            self.checker.runs[request_id].remove(self.instance_id)
            writer.write(answer(503, headers={"X-Not-Executed": "1", "X-Request-Id": request_id}))
            await writer.drain()
            return True
        await asyncio.sleep(SLOW_SECONDS)
        return await super().run(start, headers, request_id, fault, writer)


class SlowEndpointTest(SoakTest):
    async def add_endpoint(self):
        await self.add_direct_endpoint(SlowEndpoint)


async def send_late(test, gateway, kind, delay, body_delay):
    """Sends a request on a connection that has been open for a while. With a body delay, its body follows later than its head."""
    connection = await asyncio.open_connection(gateway.ip, gateway.port)
    request_id = f"late-{kind}-{delay}-{body_delay}"
    await asyncio.sleep(delay)
    if not body_delay:
        outcome, _keep_alive = await test.send_request(connection, kind, request_id)
        return request_id, outcome
    connection[1].write((f"POST /{kind}/x HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: {request_id}\r\nX-Credential: key\r\n"
                         f"X-Deadline-Ms: {test.route_timeout_ms}\r\nContent-Length: 5\r\n\r\n").encode())
    await asyncio.sleep(body_delay)
    connection[1].write(b"hello")
    message = await read_message(connection[0])
    return request_id, "closed" if message is None else test.classify_response(message, kind, request_id)[0]


async def check_late_requests(binary, folder):
    """Requests that still run at the end of the grace period, or are sent late, with free and with full endpoints."""
    violations = []
    for is_full in (False, True):
        test = SlowEndpointTest(binary, 1, 0, folder)
        test.route_timeout_ms = 10000
        test.gateway_settings = {"repeatSlack": 1000}
        await test.set_up()
        for endpoint in test.endpoints:
            endpoint.is_full = is_full
        gateway = test.gateways[0]
        sending = [asyncio.ensure_future(send_late(test, gateway, kind, delay, body_delay))
                   for kind in ("once", "safe", "stream") for delay in LATE_DELAYS for body_delay in ((0, BODY_DELAY) if kind == "once" else (0,))]
        await asyncio.sleep(0.05)
        gateway.send(signal.SIGTERM)
        outcomes = await asyncio.gather(*sending)
        print(f"{'full' if is_full else 'slow'} endpoints: {dict(outcomes)}")
        for request_id, outcome in outcomes:
            has_run = bool(test.checker.runs.get(request_id))
            if outcome != ("status-502" if has_run else "refused"):
                violations.append(f"{'REFUSED' if outcome == 'refused' else 'LOST'}: {request_id}, which has {'' if has_run else 'not '}run: {outcome}")
        await test.stop_gateways()
        violations += test.checker.violations
    return violations


async def run(binary, folder):
    soak_test = SoakTest(binary, 1, 0, folder)
    Endpoint.EVENT_INTERVAL = STREAM_SECONDS / Endpoint.EVENTS
    soak_test.route_timeout_ms = 10000
    await soak_test.set_up()
    gateway = soak_test.gateways[0]
    gateway.send(signal.SIGTERM)

    async def send_request(delay):
        await asyncio.sleep(delay)
        connection = await asyncio.open_connection(gateway.ip, gateway.port)
        outcome, _keep_alive = await soak_test.send_request(connection, "stream", f"drain-{delay}")
        connection[1].close()
        return outcome

    outcomes = await asyncio.gather(*(send_request(delay) for delay in SEND_DELAYS))
    print(dict(zip(SEND_DELAYS, outcomes)))
    # A second SIGTERM ends the process immediately, even while a request is in progress.
    second_gateway = soak_test.gateways[1]
    connection = await asyncio.open_connection(second_gateway.ip, second_gateway.port)
    pending = asyncio.ensure_future(soak_test.send_request(connection, "stream", "drain-hurried"))
    await asyncio.sleep(0.6)
    second_gateway.send(signal.SIGTERM)
    await asyncio.sleep(0.2)
    second_gateway.send(signal.SIGTERM)
    await pending
    await asyncio.get_running_loop().run_in_executor(None, second_gateway.process.wait)
    await soak_test.stop_gateways()
    ran = [delay for delay, outcome in zip(SEND_DELAYS, outcomes) if outcome == "refused" and f"drain-{delay}" in soak_test.checker.runs]
    soak_test.checker.violations += [f"REFUSED: {delay}" for delay in ran]
    soak_test.checker.violations += [f"LOST: {outcome}" for outcome in outcomes if outcome not in ("served", "refused")]
    soak_test.checker.violations += await check_late_requests(binary, folder)
    print("\n".join(soak_test.checker.violations))
    return 1 if soak_test.checker.violations or outcomes[0] != "served" else 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(asyncio.run(run(sys.argv[1], pathlib.Path(temporary))))
