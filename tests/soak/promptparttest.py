#!/usr/bin/env python3
"""Checks that requests with a prompt part that crashes endpoints are stopped, and that other requests with the same first part are served.

Guards against one kind of request that crashes the endpoints of a service one after the other, also when an endpoint ends before it has written the whole
head of its response, before any byte of it has left, or with a listener that outlives its connections; and against one prompt that does so and takes the
other requests with its first part with it. Exit status: 0 if the limits below hold.
"""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time

from soak import SoakTest
from standins import Endpoint

ENDPOINTS = 8
RESTART_SECONDS = 1.0
LINGER_SECONDS = 0.5  # How long a process that ends slowly still listens after its connections were reset.
LAPSE_SECONDS = 1.5  # After this time the store removes the entry of an endpoint that came back under another ID.
RUN_SECONDS = 14.0
CRASHES_BEFORE_STOP = 5
STABLE_WINDOW = 3.0  # After this time from the fifth crash at most MAX_LATE_SENDS requests with the part may reach endpoints.
MAX_LATE_SENDS = 3
MIN_SERVED_SHARE = 0.9  # Of the sound requests after twice the stable window.
SHARED_PART = "e3161bfd7280:40"
CRASHING_PART = "f865479789ec:900"
CRASHING_LAST_PART = "7e1f6b90820e:14879"
MAX_CRASHES_OF_ONE_PROMPT = 3


BLOCK_SECONDS = 2.0  # In the second run, in which the part ceases to crash endpoints.
REPAIR_AFTER = 5.0
RELEASE_SECONDS = 3 * BLOCK_SECONDS + 1.0  # The time until the next trial doubles at most once until the repair.


class CrashingEndpoint(Endpoint):
    """Ends and restarts when it begins to write the response to a request with the crashing part."""

    async def stream(self, headers, request_id, stamp, fault, writer):
        if self.test.crashing_text not in headers.get("x-prompt-prefix", "") or time.monotonic() > self.test.repaired_at:
            return await super().stream(headers, request_id, stamp, fault, writer)
        self.test.arrivals.append(time.monotonic())
        await asyncio.sleep(0.05)
        text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in stamp.items())
        writer.write(self.test.written_before_crash(text.encode() + b"\r\n"))
        await writer.drain()
        await asyncio.sleep(0.03)
        if self.server and not self.is_ending:
            self.test.crashes.append(time.monotonic())
            asyncio.ensure_future(self.crash())
        return False

    is_ending = False  # The process has crashed, and its listener is still open.

    async def accept(self, reader, writer):
        if not self.is_ending:
            return await super().accept(reader, writer)
        self.writers.add(writer)  # Accepted by the operating system, and served by nobody.

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def crash(self):
        if self.test.holds_listener:
            return await self.crash_behind_listener()
        if self.test.ends_slowly:
            self.is_ending = True
            self.reset_connections()
            await asyncio.sleep(LINGER_SECONDS)
        self.stop()
        await asyncio.sleep(RESTART_SECONDS)
        self.port = 0  # The kernel may have given the port to another socket meanwhile.
        self.incarnation += 1000
        self.is_ending = False
        await self.start()
        self.test.register(self)

    async def crash_behind_listener(self):
        """A parent process holds the listener open and starts the endpoint again, in turn under its former ID and under another one."""
        self.is_ending = True
        self.reset_connections()
        await asyncio.sleep(RESTART_SECONDS)
        self.reset_connections()
        self.is_ending = False
        self.incarnation += 1000
        if self.incarnation // 1000 % 2 == 0:
            asyncio.ensure_future(self.test.remove_later(self.instance_id))
            self.instance_id += ".1"
        self.test.register(self)


class PromptPartTest(SoakTest):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals = []
        self.crashes = []
        self.repaired_at = float("inf")
        self.sound = []
        self.rejections = []
        self.cuts_head = False
        self.writes_no_byte = False
        self.ends_slowly = False
        self.holds_listener = False
        self.is_one_prompt = False

    @property
    def crashing_text(self):
        return CRASHING_LAST_PART if self.is_one_prompt else CRASHING_PART

    async def remove_later(self, instance_id):
        await asyncio.sleep(LAPSE_SECONDS)
        self.store.put("keyed.servers", instance_id, None)

    def written_before_crash(self, head):
        if self.writes_no_byte:
            return b""
        if not self.cuts_head:
            return head
        first_line = head[:head.index(b"\r\n") + 2]
        cuts = [head[:1], first_line, b"HTTP/1.1 100 Continue\r\n\r\n" + first_line, head[:-2]]
        return cuts[len(self.crashes) % len(cuts)]

    async def add_endpoint(self):
        await self.add_direct_endpoint(CrashingEndpoint)

    async def send_sound(self, number):
        started_at = time.monotonic()
        self.sound.append((started_at, await self.send_once("stream", number, f"{SHARED_PART},{number:x}:500")))

    async def send_crashing(self, number):
        started_at = time.monotonic()
        prompt = f"{SHARED_PART},{CRASHING_LAST_PART}" if self.is_one_prompt else f"{SHARED_PART},{CRASHING_PART},{number:x}:500"
        outcome = await self.send_once("stream", number, prompt)
        self.rejections.append((started_at, outcome))

    async def run(self):
        rng = random.Random(7001)
        begin = time.monotonic()
        tasks = []
        number = 0
        while time.monotonic() - begin < RUN_SECONDS:
            await asyncio.sleep(rng.expovariate(40))
            number += 1
            send = self.send_crashing if rng.random() < 0.1 and time.monotonic() - begin > 1 else self.send_sound
            tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.gather(*tasks)


async def start_test(options, folder, settings):
    test = PromptPartTest(options.binary, 1, 0, folder)
    test.cuts_head = options.cut_head
    test.writes_no_byte = options.no_byte
    test.ends_slowly = options.slow_exit
    test.holds_listener = options.held_listener
    test.is_one_prompt = options.one_prompt
    test.gateway_settings = settings
    await test.set_up()
    for _ in range(ENDPOINTS - len(test.endpoints)):
        await test.add_endpoint()
    await asyncio.sleep(1)
    return test


async def check_release(options, folder):
    """Blocked parts are tried and, once they no longer crash endpoints, released on all VMs."""
    test = await start_test(options, folder, {"promptBlockSeconds": BLOCK_SECONDS})
    test.repaired_at = time.monotonic() + REPAIR_AFTER
    await test.run()
    await test.stop_gateways()
    log = "".join(path.read_text() for path in folder.glob("gateway-*.log"))
    trials = log.count('"prompt-parts-tried"')
    later = [outcome for started_at, outcome in test.rejections if started_at > test.repaired_at + RELEASE_SECONDS]
    print(f"{len(test.crashes)} crashes, {trials} trials, {later.count('served')} of {len(later)} requests with the part served after the repair")
    # The trials before the repair each crash one endpoint.
    if options.no_byte or options.slow_exit or options.held_listener:
        # A crash is weaker evidence here, so more than the fewest crashes are needed, within what is allowed.
        broken = len(late_arrivals(test)) > MAX_LATE_SENDS + trials
    else:
        broken = len(test.crashes) > CRASHES_BEFORE_STOP + trials
    if trials < 1 or broken:
        return [f"BUDGET: {len(test.crashes)} crashes, {trials} trials"]
    return [] if later and later.count("served") == len(later) else ["LOST: requests are rejected after the repair"]


def late_arrivals(test):
    fifth = test.crashes[min(len(test.crashes), CRASHES_BEFORE_STOP) - 1]
    return [arrival for arrival in test.arrivals if arrival > fifth + STABLE_WINDOW and arrival < test.repaired_at]


async def run(options, folder):
    test = await start_test(options, folder, {})
    await test.run()
    await test.stop_gateways()
    violations = list(test.checker.violations)
    if options.one_prompt and len(test.crashes) > MAX_CRASHES_OF_ONE_PROMPT:
        violations.append(f"BUDGET: {len(test.crashes)} crashes of one prompt")
    if options.one_prompt:
        rejected = [outcome for _started_at, outcome in test.sound].count("refused")
        if rejected:
            violations.append(f"LOST: {rejected} of {len(test.sound)} sound requests were rejected")
    last = test.crashes[min(len(test.crashes), CRASHES_BEFORE_STOP) - 1]
    print("crashes at " + " ".join(f"{at - test.crashes[0]:.2f}" for at in test.crashes) + " s")
    late = late_arrivals(test)
    if len(late) > MAX_LATE_SENDS:
        violations.append(f"BUDGET: {len(late)} requests with the part reached endpoints too late; {len(test.crashes)} crashes")
    sound = [outcome for started_at, outcome in test.sound if started_at > last + 2 * STABLE_WINDOW]
    if len(sound) < 20 or sound.count("served") < MIN_SERVED_SHARE * len(sound):
        violations.append(f"LOST: {sound.count('served')} of {len(sound)} sound requests were served")
    refused = [outcome for started_at, outcome in test.rejections if started_at > last + STABLE_WINDOW]
    if len(late) <= MAX_LATE_SENDS and refused.count("refused") < len(refused) - MAX_LATE_SENDS:
        violations.append(f"REFUSED: only {refused.count('refused')} of {len(refused)} requests with the part were rejected as not run")
    release_folder = folder / "release"
    release_folder.mkdir()
    violations += await check_release(options, release_folder)
    print(f"{len(test.crashes)} crashes, {len(late)} late sends, {sound.count('served')} of {len(sound)} sound requests served")
    print("\n".join(violations))
    return 1 if violations else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", help="the program lentillock-gateway")
    parser.add_argument("--cut-head", action="store_true", help="endpoints crash before the head of the response is complete")
    parser.add_argument("--no-byte", action="store_true", help="endpoints crash before the first byte of the response has left")
    parser.add_argument("--slow-exit", action="store_true", help="the connections of an endpoint are reset some time before its listener is closed")
    parser.add_argument("--held-listener", action="store_true", help="the listener of an endpoint stays open, and the endpoint returns behind it")
    parser.add_argument("--one-prompt", action="store_true", help="one prompt crashes endpoints, not a part of many")
    parser.add_argument("--keep", help="folder for the logs of the gateways")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(options.keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run(options, folder))


if __name__ == "__main__":
    sys.exit(main())
