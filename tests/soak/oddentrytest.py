#!/usr/bin/env python3
"""Checks that an entry of another writer in the store, or an item of a list that cannot be read, costs nothing but itself.

Each case has a store, eight endpoints and two gateways of its own. Its odd entry is written, both gateways are killed and start again, and then the gateways
must know the eight endpoints, serve every request, send none to the odd entry, and list the topics without repeating calls. Exit status: 0 if that holds.
"""

import argparse
import asyncio
import json
import pathlib
import signal
import string
import sys
import tempfile
import urllib.parse

from soak import SoakTest
from standins import Endpoint, Server, Store, read_message

ENDPOINTS = 8
GATEWAYS = 2
START_SECONDS = 2.0  # From the start of the gateways until every request must be served.
REQUESTS = 24
MAX_CALLS_PER_PAGE = 2  # A start may repeat the call for a page whose response was lost.
READS_PER_SECOND = 12  # Of one gateway: a topic is read ten times in a second.
MEBIBYTE = 1 << 20
MAX_RESIDENT = 64 * MEBIBYTE
MAX_RESIDENT_OF_ENDLESS_LIST = 160 * MEBIBYTE  # The memory of the smallest VM.
MAX_LISTED = 32 * MEBIBYTE  # Of keys and values that a gateway reads of a list, as the manual says.
ENDLESS_ITEMS = 500
ENDLESS_VALUE = "A" * 1400
ENDLESS_PIECE = b"x" * 65536
BOUNDS_BYTES = 16  # A read begins with the end and the first offset of the partition.
TARGET_CHARACTERS = set(string.ascii_letters + string.digits + "-._~:/?#[]@!$&'()*+,;=%")

ODD_NAMES = {
    "blank": "i-2 x", "line-break": "i-2\r\nX-Odd: y", "fragment": "i-2#x", "leading-fragment": "#x", "another-after": "i-2&after=", "plus": "i-2+x",
    "percent": "i-2%zz", "escaped": "i-2%41", "quote": 'i-2"x', "not-ascii": "i-2é", "another-topic": "i-2&topic=keyed.op", "zero": "i-2\0x",
    "not-utf8": "i-2\udcff\udcfe", "longest": "i-2" + "é" * 125, "question": "i-2?part=1",
}

ODD_VALUES = {
    "not-json": b"\xff\xfe{", "list": b"[]", "deep": b'{"service":' + b"[" * 400 + b"]" * 400 + b"}", "service-number": {"service": 7},
    "address-list": {"address": ["127.0.0.1:1"]}, "address-lines": {"address": "127.0.0.1:1\r\nX-Odd: y"}, "no-service": {"service": None},
    "unknown-state": {"state": "odd"}, "unknown-service": {"service": "odd\r\nX-Odd: y"}, "slots-text": {"slots": "8"}, "born-fraction": {"born": 1.5},
    "zone-object": {"zone": {}},
}


def without(name):
    return lambda item: {key: value for key, value in item.items() if key != name}


def replaced(name, value):
    return lambda item: {**item, name: value}


ODD_ITEMS = {
    "no-value": without("value"), "null-value": replaced("value", None), "number-value": replaced("value", 7), "not-base64": replaced("value", "{*}"),
    "offset-text": replaced("offset", "x"), "no-offset": without("offset"), "offset-negative": replaced("offset", -1),
    "null-key": replaced("key", None), "no-key": without("key"), "no-object": lambda _item: 7, "null": lambda _item: None,
}


class StrictStore(Store):
    """Rejects requests that it cannot read, and counts the calls for lists and reads of each topic."""

    def __init__(self, page_size):
        super().__init__()
        self.PAGE_SIZE = page_size
        self.odd_items = {}  # By key: changes the item of a list.
        self.calls = {}
        self.ignores_after = False  # Each page is the first one.
        self.has_endless_list = False  # After the records, pages of new keys follow without end.
        self.bad_offset = None  # At this offset of keyed.servers, a read gives bytes that are no record.
        self.rejects_lists = False
        self.sends_without_end = False
        self.has_no_history = False  # Each read of keyed.op finds that its records have been dropped.

    def list_item(self, key, offset, value):
        item = super().list_item(key, offset, value)
        return self.odd_items[key](item) if key in self.odd_items else item

    async def serve(self, reader, writer):
        if not self.sends_without_end:
            await super().serve(reader, writer)
            return
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n")
        while True:
            writer.write(ENDLESS_PIECE)
            await writer.drain()
            await asyncio.sleep(0)

    async def handle(self, start, headers, body):
        parts = start.split(" ")
        if len(parts) != 3 or not set(parts[1]) <= TARGET_CHARACTERS:
            self.calls["unreadable"] = self.calls.get("unreadable", 0) + 1
            return self.answer(400)
        url = urllib.parse.urlsplit(parts[1])
        call = url.path.rsplit("/", 1)[-1], dict(urllib.parse.parse_qsl(url.query, errors="replace")).get("topic")
        self.calls[call] = self.calls.get(call, 0) + 1
        query = dict(urllib.parse.parse_qsl(url.query))
        if call == ("log-newest", "keyed.servers"):
            if self.rejects_lists:
                return self.answer(503)
            if self.ignores_after:
                start = start.split("&after=")[0] + " HTTP/1.1"
            if self.has_endless_list:
                return self.endless_page(query.get("after"))
        if call == ("log-read", "keyed.op") and self.has_no_history:
            return self.answer(410, b'{"first":0}')
        if call == ("log-read", "keyed.servers") and self.bad_offset is not None and int(query["from"]) <= self.bad_offset:
            result = await super().handle(start.replace("wait_ms", "w"), headers, body)
            return self.with_bad_frame(result, int(query["from"]))
        return await super().handle(start, headers, body)

    def endless_page(self, after):
        newest = {key: (offset, value) for offset, (key, value) in enumerate(self.topics["keyed.servers"])}
        items = [self.list_item(key, *record) for key, record in sorted(newest.items())] if after is None else []
        first = int(after[1:]) + 1 if after else 0
        items += [{"key": f"z{first + number:012}", "value": ENDLESS_VALUE, "offset": 0} for number in range(ENDLESS_ITEMS)]
        return self.answer(200, json.dumps({"items": items, "has_more": True, "end": len(self.topics["keyed.servers"])}).encode())

    def with_bad_frame(self, result, first):
        """The records of a read before the bad offset, and then bytes that are no record."""
        text = result.split(b"\r\n\r\n", 1)[1]
        end = BOUNDS_BYTES
        for _ in range(min(self.bad_offset, len(self.topics["keyed.servers"])) - first):
            end += 4 + int.from_bytes(text[end:end + 4], "big")
        return self.answer(200, text[:end] + (b"\xff\xff\xff\xff odd" if len(text) > end else b""))


class Trap(Server):
    """Stands at the address of the odd entry."""

    def __init__(self):
        super().__init__()
        self.arrivals = []

    async def serve(self, reader, writer):
        self.arrivals.append(await reader.read(4096))


class OddEntryTest(SoakTest):
    def __init__(self, binary, index, folder, page_size):
        super().__init__(binary, index, 0, folder, GATEWAYS)
        self.first_gateway = index * GATEWAYS
        self.store = StrictStore(page_size)
        self.trap = Trap()
        self.max_resident = MAX_RESIDENT
        self.lists_whole = True
        self.lists_endpoints = True

    async def add_endpoint(self):
        while len(self.endpoints) < ENDPOINTS:
            await self.add_direct_endpoint(Endpoint)

    def valid_entry(self):
        return {"service": "desk", "address": self.trap.address, "zone": "zone-0", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "sequence": 1, "born": 1}

    def put_odd_name(self, name):
        self.store.put("keyed.servers", name, json.dumps(self.valid_entry()).encode())

    def put_odd_value(self, value):
        if not isinstance(value, bytes):
            entry = {**self.valid_entry(), **value}
            value = json.dumps({name: field for name, field in entry.items() if field is not None}).encode()
        self.store.put("keyed.servers", "i-2-odd", value)

    def put_odd_item(self, change, topic="keyed.servers"):
        """The odd item ends a page of two, of which the other can be read."""
        key = {"keyed.servers": "i-2-odd", "keyed.op": "config-odd", "keyed.status": "vm-odd"}[topic]
        self.store.odd_items[key] = change
        self.store.put(topic, key, b"{}")

    def put_in_other_topics(self, name):
        for topic, value in (("keyed.op", b'{"version":1000000}'), ("keyed.status", b'{"ip":"127.0.0.999\\r\\n","zone":7}')):
            self.store.put(topic, f"a{name}", value)

    def list_repeats_first_page(self):
        self.store.ignores_after = True
        self.lists_whole = False

    def list_without_end(self):
        self.store.has_endless_list = True
        self.lists_whole = False
        self.max_resident = MAX_RESIDENT_OF_ENDLESS_LIST

    def read_with_bad_frame(self):
        """The entry of a ninth endpoint follows a record that cannot be read."""
        self.store.bad_offset = self.store.put("keyed.servers", "i-2-odd", b"{}")
        asyncio.ensure_future(self.add_direct_endpoint(Endpoint))

    def reject_lists(self):
        self.store.rejects_lists = True
        self.lists_endpoints = False

    def drop_history(self):
        self.store.has_no_history = True
        self.lists_whole = False

    def send_without_end(self):
        self.store.sends_without_end = True
        self.lists_endpoints = False
        self.max_resident = MAX_RESIDENT_OF_ENDLESS_LIST
        for writer in list(self.store.writers):
            writer.transport.abort()

    async def restart_all(self):
        for gateway in self.gateways:
            gateway.send(signal.SIGKILL)
            gateway.process.wait()
        self.store.calls = {}
        for gateway in self.gateways:
            gateway.start()

    def peak_resident_bytes(self, gateway):
        for line in pathlib.Path(f"/proc/{gateway.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    def check_calls(self, seconds):
        if self.store.calls.get("unreadable"):
            self.checker.report_violation("CALLS", f"{self.store.calls['unreadable']} that the store cannot read")
        for topic, records in self.store.topics.items():
            pages = len({key for key, _value in records}) // self.store.PAGE_SIZE + 1
            for call, limit in (("log-newest", MAX_CALLS_PER_PAGE * pages), ("log-read", READS_PER_SECOND * seconds)):
                if not self.lists_whole:
                    limit = max(READS_PER_SECOND * seconds, MAX_LISTED // (ENDLESS_ITEMS * len(ENDLESS_VALUE) * 3 // 4) + 1)
                count = self.store.calls.get((call, topic), 0)
                if count > limit * GATEWAYS:
                    self.checker.report_violation("CALLS", f"{count} of {call} for {topic}, which has {pages} pages")

    async def check_served(self, phase, first):
        outcomes = [await self.send_once("safe", first + number) for number in range(REQUESTS)]
        if outcomes.count("served") < REQUESTS:
            self.checker.report_violation("RECOVER", f"{phase} {outcomes.count('served')} of {REQUESTS} were served: {sorted(set(outcomes))}")

    async def check_known(self):
        expected = {endpoint.instance_id for endpoint in self.endpoints}
        for gateway in self.gateways:
            known = {entry["id"] for entry in (await self.read_state(gateway))["endpoints"] if entry["service"] == "desk"}
            if not known or not known <= expected or (self.lists_whole and known != expected):
                self.checker.report_violation("KNOWN", f"{gateway.ip}: missing {sorted(expected - known)}, more {sorted(known - expected)}")

    def check_memory(self):
        for gateway in self.gateways:
            if self.peak_resident_bytes(gateway) > self.max_resident:
                self.checker.report_violation("MEMORY", f"{gateway.ip}: {self.peak_resident_bytes(gateway) // MEBIBYTE} MiB")

    async def check_copies(self):
        """A gateway that has not read a list must not give a copy of it to others."""
        for gateway in self.gateways:
            reader, writer = await asyncio.open_connection(gateway.ip, json.loads(gateway.settings.read_text())["peerPort"])
            writer.write(b"GET /mirror/keyed.servers HTTP/1.1\r\nHost: peer\r\n\r\n")
            status = (await read_message(reader))[0].split(" ")[1]
            writer.close()
            if status != "503":
                self.checker.report_violation("COPY", f"{gateway.ip} gives a copy of a list that it has not read: {status}")

    async def play(self, put):
        await self.trap.start()
        await self.set_up()
        put(self)
        await asyncio.sleep(START_SECONDS)
        await self.check_served("while the gateways run", 0)
        await self.check_known()
        await self.restart_all()
        await asyncio.sleep(START_SECONDS)
        if self.lists_endpoints:
            await self.check_served("after their restart", REQUESTS)
            await self.check_known()
        else:
            await self.check_copies()
        self.check_calls(START_SECONDS + 2)
        self.check_memory()
        if self.trap.arrivals:
            self.checker.report_violation("USED", f"the odd entry got {self.trap.arrivals[:1]}")
        await self.stop_gateways()
        return self.checker.violations


GROUPS = {
    "name": {name: (1, lambda test, text=text: test.put_odd_name(text)) for name, text in ODD_NAMES.items()},
    "value": {name: (1, lambda test, value=value: test.put_odd_value(value)) for name, value in ODD_VALUES.items()},
    "item": {name: (2, lambda test, change=change: test.put_odd_item(change)) for name, change in ODD_ITEMS.items()},
    "listing": {
        "first-page-repeated": (5, OddEntryTest.list_repeats_first_page),
        "without-end": (5, OddEntryTest.list_without_end),
        "bad-frame": (5, OddEntryTest.read_with_bad_frame),
        "response-without-end": (5, OddEntryTest.send_without_end),
        "history-dropped": (5, OddEntryTest.drop_history),
        "all-rejected": (5, OddEntryTest.reject_lists),
    },
    "topic": {
        **{f"names-{name}": (1, lambda test, text=text: test.put_in_other_topics(text)) for name, text in ODD_NAMES.items()},
        **{f"{topic}-{name}": (2, lambda test, change=change, topic=topic: test.put_odd_item(change, topic))
           for topic in ("keyed.op", "keyed.status") for name, change in ODD_ITEMS.items()},
    },
}


async def run(options, folder):
    cases = GROUPS[options.group]
    names = [options.case] if options.case else list(cases)
    tests = []
    for index, name in enumerate(names):
        case_folder = folder / name
        case_folder.mkdir(parents=True, exist_ok=True)
        tests.append(OddEntryTest(options.binary, index, case_folder, cases[name][0]))
    results = []
    try:
        for first in range(0, len(names), options.parallel):
            batch = list(zip(names, tests))[first:first + options.parallel]
            results += await asyncio.gather(*[test.play(cases[name][1]) for name, test in batch])
    finally:
        for test in tests:
            test.kill_gateways()
    for name, violations in zip(names, results):
        print(f"{options.group} {name}: {'held' if not violations else '; '.join(violations)}")
    return 1 if any(results) else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", help="the program lentillock-gateway")
    parser.add_argument("group", choices=list(GROUPS))
    parser.add_argument("case", nargs="?", help="one case of the group; default: all")
    parser.add_argument("--parallel", type=int, default=16, help="cases that are played at the same time")
    parser.add_argument("--keep", help="folder for the logs of the gateways")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(run(options, pathlib.Path(options.keep or temporary)))


if __name__ == "__main__":
    sys.exit(main())
