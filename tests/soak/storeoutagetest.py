#!/usr/bin/env python3
"""Checks what gateways do with endpoints whose entries are removed after an outage of the store.

Guards against removals that took effect late, because a gateway that reads the store again long after an outage took that for the end of it; and against
endpoints that are dropped although their entries only lapsed during the outage. Exit status: 0 if both hold.
"""

import asyncio
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

from soak import DRAIN_LIMIT, SoakTest
from standins import Endpoint

GATEWAYS = 5
ROUNDS = 2
OUTAGE_SECONDS = 4.5
RETURN_SECONDS = 1.5  # Endpoints whose entries have lapsed are listed again so long after the outage; at most two seconds.
CALM_SECONDS = 5.0
SERVES_FOR = DRAIN_LIMIT + 0.75  # An endpoint exits so long after the removal of its entry.
REQUESTS_PER_SECOND = 30


class StoreOutageTest(SoakTest):
    async def add_endpoint(self):
        await self.add_direct_endpoint(Endpoint)

    async def send_for(self, seconds, gateways):
        """Sends requests that must not run twice to the gateways, and returns their outcomes."""
        rng = random.Random(4)
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
            self.request_count += 1
            gateway = rng.choice(gateways)
            tasks.append(asyncio.ensure_future(self.send_to(gateway, f"{self.gateways.index(gateway)}-once-{self.request_count}")))
        return await asyncio.gather(*tasks)

    async def send_to(self, gateway, request_id):
        connection = await asyncio.open_connection(gateway.ip, gateway.port)
        outcome, _keep_alive = await self.send_request(connection, "once", request_id)
        connection[1].close()
        return outcome

    async def check_lapsed_entries(self):
        self.store.outage = "silent"
        await asyncio.sleep(OUTAGE_SECONDS)
        for endpoint in self.endpoints:
            self.store.put("keyed.servers", endpoint.instance_id, None)
        self.store.outage = None
        sending = asyncio.ensure_future(self.send_for(RETURN_SECONDS + 1, self.gateways))
        await asyncio.sleep(RETURN_SECONDS)
        for endpoint in self.endpoints:
            self.register(endpoint)
        outcomes = await sending
        print(f"entries lapsed: {outcomes.count('served')} of {len(outcomes)} served")
        if outcomes.count("served") < len(outcomes):
            self.checker.report_violation("LOST", f"endpoints whose entries lapsed got no requests: {sorted(set(outcomes))}")

    async def check_removal(self):
        """The gateway that reads the store for the others is killed as an endpoint leaves."""
        reading = [gateway for gateway in self.gateways if (await self.read_state(gateway))["readsStoreFirst"]]
        killed = reading[0]
        killed.send(signal.SIGKILL)
        killed.process.wait()
        leaving = self.endpoints.pop(0)
        print(f"{time.time() * 1000:.0f} {killed.ip} is killed, the entry of {leaving.instance_id} is removed")
        self.store.put("keyed.servers", leaving.instance_id, None)
        removed_at = time.monotonic()
        arrivals = []
        original = self.checker.record_arrival

        def record_arrival(endpoint, request_id, start, headers):
            if endpoint is leaving:
                arrivals.append(time.monotonic() - removed_at)
            original(endpoint, request_id, start, headers)

        self.checker.record_arrival = record_arrival
        await self.send_for(SERVES_FOR, [gateway for gateway in self.gateways if gateway is not killed])
        leaving.stop()
        self.checker.record_arrival = original
        late = [arrival for arrival in arrivals if arrival > DRAIN_LIMIT]
        print(f"removed {leaving.instance_id}: {len(arrivals)} requests, the last after {max(arrivals, default=0):.2f} s")
        if late:
            self.checker.report_violation("DRAIN", f"{len(late)} requests later than {DRAIN_LIMIT} s after the removal")
        killed.start()
        await self.add_endpoint()

    def print_log_of_store(self):
        """Prints what the gateways have logged of the store and of the list of endpoints, so that a failure can be traced."""
        lines = []
        for gateway in self.gateways:
            for line in gateway.log_path.read_text().splitlines():
                if '"store-' in line or '"endpoints-changed"' in line or '"read-from-peer"' in line or '"started"' in line:
                    lines.append((json.loads(line)["timeMs"], gateway.ip, line))
        print("\n".join(f"{ip} {line}" for _time, ip, line in sorted(lines)))

    async def play(self):
        self.request_count = 0
        await self.set_up()
        await asyncio.sleep(CALM_SECONDS)
        for _ in range(ROUNDS):
            await self.check_lapsed_entries()
            await asyncio.sleep(CALM_SECONDS)
            await self.check_removal()
            await asyncio.sleep(2)
        await self.stop_gateways()


async def run(binary, folder):
    test = StoreOutageTest(binary, 1, 0, folder, GATEWAYS)
    await test.play()
    print("\n".join(test.checker.violations))
    if test.checker.violations:
        test.print_log_of_store()
    return 1 if test.checker.violations else 0


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(asyncio.run(run(sys.argv[1], pathlib.Path(temporary))))
