#!/usr/bin/env python3
"""Checks that a gateway that is being stopped cuts off no request: what it still takes it finishes, and what comes later it refuses.

Guards against a stream that was taken 3.3 s after the stop signal and cut at the end of the grace period.
Exit status: 0 if all answers were whole or refused as not run.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile

from soak import Soak
from standins import Endpoint

STREAM_SECONDS = 2.4
SEND_AT = [0.1, 0.8, 2.7, 3.2]  # Seconds after the stop signal; the grace period is 4 s.


async def run(binary, folder):
    soak = Soak(binary, 1, 0, folder)
    Endpoint.EVENT_PAUSE = STREAM_SECONDS / Endpoint.EVENTS
    soak.route_timeout_ms = 10000
    await soak.set_up()
    gateway = soak.gateways[0]
    gateway.send(signal.SIGTERM)

    async def ask(delay):
        await asyncio.sleep(delay)
        channel = await asyncio.open_connection(gateway.ip, gateway.port)
        outcome, _keep = await soak.ask(channel, "stream", f"drain-{delay}")
        channel[1].close()
        return outcome

    outcomes = await asyncio.gather(*(ask(delay) for delay in SEND_AT))
    print(dict(zip(SEND_AT, outcomes)))
    # A second signal ends the process at once, with a request in progress.
    hurried = soak.gateways[1]
    channel = await asyncio.open_connection(hurried.ip, hurried.port)
    asking = asyncio.ensure_future(soak.ask(channel, "stream", "drain-hurried"))
    await asyncio.sleep(0.6)
    hurried.send(signal.SIGTERM)
    await asyncio.sleep(0.2)
    hurried.send(signal.SIGTERM)
    await asking
    await asyncio.get_running_loop().run_in_executor(None, hurried.process.wait)
    await soak.stop_gateways()
    ran = [delay for delay, outcome in zip(SEND_AT, outcomes) if outcome == "refused" and f"drain-{delay}" in soak.journal.runs]
    soak.journal.broken += [f"REFUSED: {delay}" for delay in ran]
    soak.journal.broken += [f"LOST: {outcome}" for outcome in outcomes if outcome not in ("served", "refused")]
    print("\n".join(soak.journal.broken))
    return 1 if soak.journal.broken or outcomes[0] != "served" else 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(asyncio.run(run(sys.argv[1], pathlib.Path(temporary))))
