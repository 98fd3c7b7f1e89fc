#!/usr/bin/env python3
"""Checks that a gateway that is being stopped completes every request that it accepts, and refuses later ones.

Guards against a stream that was accepted 3.3 s after the stop signal and cut off at the end of the grace period.
Exit status: 0 if every request was either finished or refused as not run.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile

from soak import SoakTest
from standins import Endpoint

STREAM_SECONDS = 2.4
SEND_DELAYS = [0.1, 0.8, 2.7, 3.2]  # Seconds after the stop signal; the grace period is 4 s.


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
    print("\n".join(soak_test.checker.violations))
    return 1 if soak_test.checker.violations or outcomes[0] != "served" else 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(asyncio.run(run(sys.argv[1], pathlib.Path(temporary))))
