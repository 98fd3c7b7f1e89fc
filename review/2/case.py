"""Requests with one part of a prompt crash each worker as it begins to write the answer: the first bytes of the head are out, the rest is lost."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from outside import CHECK_IN_SECONDS, Gateway, Record, Store, StreamingWorker, document, free_ports, request, route, run_case

GATEWAYS = 3
WORKERS = 14
SECONDS = 25
SOUND_PER_S = 20.0
CRASHING_PER_S = 1.5
BACK_AFTER = 2.0  # A crashed worker is back after some seconds.
SHARED_PART = "5c1e07a2:40"
CRASHING_PART = "91bd3f06:410"

# Of the rule.
STABLE_WINDOW = 3.0
CRASHES = 5
ALLOWED_REQUESTS = 3


class CrashingWorker(StreamingWorker):
    def __init__(self, number, case):
        super().__init__(f"i-{number}", "doc-reader")
        self.number = number
        self.case = case
        self.starts = 0

    async def run(self, start, headers, body, writer):
        if CRASHING_PART not in headers.get("x-prompt-prefix", ""):
            await super().run(start, headers, body, writer)
            return
        request_id = headers["x-request-id"]
        self.case.arrivals.append(time.monotonic())
        self.case.record.write(f"{self.instance_id} runs {request_id} with the part")
        if not self.case.trouble:
            await super().run(start, headers, body, writer)
            return
        await asyncio.sleep(0.05)
        writer.write(b"HTTP/1.1 200 OK\r\n")
        await writer.drain()
        await asyncio.sleep(0.02)
        if self.server:
            self.case.record.write(f"{self.instance_id} crashes")
            self.case.crashes.append(time.monotonic())
            asyncio.ensure_future(self.come_back(self.instance_id))
            self.exit()

    async def come_back(self, former_id):
        await asyncio.sleep(BACK_AFTER)
        self.starts += 1
        self.instance_id = f"i-{self.number}-{self.starts}"
        self.born = int(time.time() * 1000)
        await self.start()
        await self.register(self.case.store)
        await asyncio.sleep(3 * CHECK_IN_SECONDS - BACK_AFTER)
        self.case.store.put("keyed.servers", former_id, None)


class Case:
    async def run(self, record, folder, trouble):
        self.record, self.trouble = record, trouble
        self.arrivals, self.crashes, self.outcomes = [], [], []
        self.store = Store()
        await self.store.start()
        routes = [route("r-audit", "/audit/", "streaming", "doc-reader", 10000, max_attempts=2, sticky=True, resumable=True)]
        self.store.put("keyed.op", "config", document(1, routes, ["doc-reader"], engines=["doc-reader"]))
        workers = [CrashingWorker(number, self) for number in range(WORKERS)]
        for worker in workers:
            await worker.start()
            await worker.register(self.store)
        ports = free_ports("127.0.0.1", 4)
        gateways = [Gateway(index, "jm-south-a", ports, self.store.address, folder) for index in range(GATEWAYS)]
        try:
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                await gateway.wait_until_ready()
            await asyncio.sleep(STABLE_WINDOW + 0.5)
            await self.send_requests(gateways)
        finally:
            for gateway in gateways:
                gateway.stop()
        return self.judge()

    async def send_requests(self, gateways):
        draw = random.Random(27)
        tasks = []
        began = time.monotonic()
        while time.monotonic() - began < SECONDS:
            await asyncio.sleep(draw.expovariate(SOUND_PER_S + CRASHING_PER_S))
            has_part = draw.random() < CRASHING_PER_S / (SOUND_PER_S + CRASHING_PER_S)
            tasks.append(asyncio.create_task(self.send(draw.choice(gateways), len(tasks), has_part)))
        await asyncio.gather(*tasks)

    async def send(self, gateway, number, has_part):
        request_id = f"{'part' if has_part else 'sound'}-{number:04x}"
        parts = f"{SHARED_PART},{CRASHING_PART + ',' if has_part else ''}{number:08x}:460"
        self.record.write(f"{request_id} is sent to {gateway.name}")
        answer = await request(gateway, request_id, "/audit/2f", headers={"X-Model": "m", "X-Token-Usage": "910,400", "X-Prompt-Prefix": parts})
        served = answer.status == 200 and answer.is_whole
        self.outcomes.append((answer.started, has_part, served))
        self.record.write(f"{request_id} ends after {answer.seconds:.2f} s with {answer.status}{' whole' if answer.is_whole else ' broken off'}")

    def judge(self):
        sound = [served for _, has_part, served in self.outcomes if not has_part]
        self.record.write(f"{len(self.crashes)} crashes of {WORKERS} workers; {sum(sound)} of {len(sound)} sound requests were served")
        if len(self.crashes) < CRASHES:
            return False
        fifth = sorted(self.crashes)[CRASHES - 1]
        late = [arrival for arrival in self.arrivals if arrival > fifth + STABLE_WINDOW]
        self.record.write(f"{len(late)} requests with the part reached workers later than {STABLE_WINDOW} s after the fifth crash; {ALLOWED_REQUESTS} may")
        print(f"{len(self.crashes)} crashes, {len(late)} late arrivals, {sum(sound)} of {len(sound)} sound requests served")
        return len(late) > ALLOWED_REQUESTS


if __name__ == "__main__":
    sys.exit(run_case(Case().run, FOLDER))
