#!/usr/bin/env python3
"""Checks that a gateway goes on when nobody reads its log and values from outside are long.

Guards against log lines that are longer than what a pipe takes without blocking. Exit status: 0 if all ordinary requests are served.
"""

import asyncio
import pathlib
import subprocess
import sys
import tempfile

from soak import SoakTest
from standins import Endpoint

LONG_IDS = 40
LONG_ID_BYTES = (5_000, 8_000, 12_000)  # The document allows 16 KiB for a head.
REQUESTS = 20
TIMEOUT = 3.0  # Of one request; the timeout of its route is 2 s.


class UnreadLogTest(SoakTest):
    async def add_endpoint(self):
        await self.add_direct_endpoint(Endpoint)

    async def restart_with_unread_log(self):
        gateway = self.gateways[0]
        gateway.process.kill()
        gateway.process.wait()
        environment = {"LENTILLOCK_BOOT": str(gateway.settings)}
        gateway.process = subprocess.Popen([gateway.binary], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, env=environment)
        await asyncio.sleep(1.5)

    async def ask(self, request_id):
        gateway = self.gateways[0]
        try:
            connection = await asyncio.wait_for(asyncio.open_connection(gateway.ip, gateway.port), TIMEOUT)
            outcome, _keep_alive = await asyncio.wait_for(self.send_request(connection, "safe", request_id), TIMEOUT)
            connection[1].close()
        except (OSError, asyncio.TimeoutError) as error:
            outcome = repr(error)
        return outcome


async def run(binary, folder):
    test = UnreadLogTest(binary, 1, 0, folder, 1)
    await test.set_up()
    try:
        await test.restart_with_unread_log()
        for number in range(LONG_IDS):
            await test.ask(f"0-safe-{number}-" + "x" * LONG_ID_BYTES[number % len(LONG_ID_BYTES)])
            if test.gateways[0].process.poll() is not None:
                break
        outcomes = [await test.ask(f"0-safe-ordinary-{number}") for number in range(REQUESTS)]
    finally:
        test.kill_gateways()
    print(f"{outcomes.count('served')} of {REQUESTS} ordinary requests were served: {sorted(set(outcomes))}")
    return 0 if outcomes.count("served") == REQUESTS else 1


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(asyncio.run(run(sys.argv[1], pathlib.Path(temporary))))
