#!/usr/bin/env python3
"""Checks that gateways follow what endpoints say of themselves in responses: that they leave, and that they want no requests for a time.

The list of endpoints says nothing of either. The checks are those of the soak (DRAIN, BUDGET), without other faults.
Exit status: 0 if no promise was broken.
"""

import asyncio
import pathlib
import random
import sys
import tempfile
import time

from soak import DRAIN_LIMIT, SoakTest
from standins import Endpoint

REQUESTS_PER_SECOND = 60
RUN_SECONDS = 9.0
STATEMENT_DELAY = 2.0
CLOSED_SECONDS = 2.5
MIN_SERVED_SHARE = 0.98


class EndpointStateTest(SoakTest):
    async def add_endpoint(self):
        await self.add_direct_endpoint(Endpoint)

    async def make_statements(self):
        await asyncio.sleep(STATEMENT_DELAY)
        self.endpoints[0].says_leaving = True
        self.endpoints[1].closed_until = time.monotonic() + CLOSED_SECONDS


async def run(binary, folder):
    test = EndpointStateTest(binary, 1, 0, folder)
    await test.set_up()
    rng = random.Random(23)
    begin = time.monotonic()
    tasks = [asyncio.ensure_future(test.make_statements())]
    while time.monotonic() - begin < RUN_SECONDS:
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
        tasks.append(asyncio.ensure_future(test.send_once("safe", len(tasks))))
    outcomes = (await asyncio.gather(*tasks))[1:]
    await test.stop_gateways()
    violations = list(test.checker.violations)
    leaving, closed = test.endpoints[:2]
    rejections = sum(len(of_gateway) for of_gateway in test.checker.closed.values())
    if not test.checker.leaving_passed_at or rejections == 0:
        violations.append("an endpoint has not been heard")
    elif test.checker.last_run_at[leaving.instance_id] > min(test.checker.leaving_passed_at.values()) + DRAIN_LIMIT:
        violations.append("DRAIN: a VM has not told its group that an endpoint leaves")
    if test.checker.last_run_at.get(closed.instance_id, 0) < closed.closed_until:
        violations.append("the endpoint that was closed got no request after the end of its time")
    if outcomes.count("served") < MIN_SERVED_SHARE * len(outcomes):
        violations.append(f"LOST: {outcomes.count('served')} of {len(outcomes)} requests were served")
    print(f"{rejections} rejections, {outcomes.count('served')} of {len(outcomes)} served")
    print("\n".join(violations))
    return 1 if violations else 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(asyncio.run(run(sys.argv[1], pathlib.Path(temporary))))
