#!/usr/bin/env python3
"""Checks that gateways follow a store that was away for a moment and comes back from an older copy.

Guards against gateways that wait at offsets which the store has given out again, so that a new document does not come into force; and against endpoints that
are dropped because the copy does not contain their entries. Exit status: 0 if neither happens.
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import tempfile
import time

from soak import SoakTest
from standins import Endpoint

GATEWAYS = 3
AWAY_SECONDS = 1.0
REWRITE_SECONDS = 0.8  # In the second case, the operator writes again so long after the return.
ENDPOINT_RETURN_SECONDS = 1.5  # Endpoints write their entries again so long after the return; at most two seconds.
CONFIG_LIMIT = 2.0  # A document is in force so long after the store has confirmed it.
MEASURING_TOLERANCE = 0.3
SAMPLE_SECONDS = 0.1


class StoreEraTest(SoakTest):
    async def add_endpoint(self):
        await self.add_direct_endpoint(Endpoint)

    def put_document(self, version):
        self.version = version - 1
        self.random.randrange = lambda *_limits: 1
        self.publish()

    def living(self):
        return [gateway for gateway in self.gateways if gateway.process.poll() is None]

    async def sample(self, seconds):
        """Records what the gateways know, for so long. Returns when each gateway has had which document in force, and the fewest endpoints known to any."""
        versions = {gateway.ip: {} for gateway in self.gateways}
        fewest = len(self.endpoints)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for gateway in self.living():
                state = await self.read_state(gateway)
                versions[gateway.ip].setdefault(state["planVersion"], time.monotonic())
                fewest = min(fewest, len(state["endpoints"]))
            await asyncio.sleep(SAMPLE_SECONDS)
        return versions, fewest


async def run(options, folder):
    test = StoreEraTest(options.binary, 1, 0, folder, GATEWAYS)
    test.version = 0
    test.random.randrange = lambda *_limits: 1
    await test.set_up()
    copy = test.store.copy()
    copy["keyed.servers"].pop()
    for version in (2, 3):
        test.put_document(version)
        await asyncio.sleep(0.3)
    await asyncio.sleep(1.5)
    before = [(await test.read_state(gateway))["planVersion"] for gateway in test.gateways]
    reading = [gateway for gateway in test.gateways if (await test.read_state(gateway))["readsStoreFirst"]][0]
    violations = [] if before == [3] * GATEWAYS else [f"SET-UP: documents {before}"]

    test.store.outage = "reset"
    for writer in list(test.store.writers):
        writer.transport.abort()
    await asyncio.sleep(AWAY_SECONDS)
    test.store.set_back(copy)
    test.store.outage = None
    if options.case == "reader-killed":
        reading.send(signal.SIGKILL)
        reading.process.wait()
    returned_at = time.monotonic()
    sampling = asyncio.ensure_future(test.sample(REWRITE_SECONDS + CONFIG_LIMIT + 2))
    if options.case != "offsets-given-again":
        await asyncio.sleep(REWRITE_SECONDS)
    test.put_document(3)
    test.put_document(4)
    written_at = time.monotonic()
    await asyncio.sleep(max(0.0, returned_at + ENDPOINT_RETURN_SECONDS - time.monotonic()))
    test.register(test.endpoints[-1])
    versions, fewest = await sampling
    for gateway in test.living():
        known = versions[gateway.ip]
        after = known[4] - written_at if 4 in known else None
        print(f"{gateway.ip}: documents {sorted(known)}, 4 after {after if after is None else round(after, 2)} s")
        if after is None or after > CONFIG_LIMIT + MEASURING_TOLERANCE:
            violations.append(f"CONFIG: document 4 came into force on {gateway.ip} after {after} s")
        if min(known) < 3:
            violations.append(f"CONFIG: {gateway.ip} went back to document {min(known)}")
    if fewest < len(test.endpoints):
        violations.append(f"LOST: a gateway knew only {fewest} of {len(test.endpoints)} endpoints, all of which live")
    test.kill_gateways()
    print("\n".join(violations))
    return 1 if violations else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", help="the program lentillock-gateway")
    parser.add_argument("case", choices=["offsets-given-again", "offsets-gone", "reader-killed"])
    parser.add_argument("--keep", help="folder for the logs of the gateways")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(options.keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run(options, folder))


if __name__ == "__main__":
    sys.exit(main())
