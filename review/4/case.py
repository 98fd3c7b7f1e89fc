"""The store is silent for a while. Later, when it has long been stable, the process that reads it for the fleet is killed as a worker leaves."""

import asyncio
import json
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from outside import Gateway, Store, Worker, document, free_ports, read_head, request, route, run_case

GATEWAYS = 5
WORKERS = 3
ROUNDS = 4
CALLS_PER_S = 20.0
OUTAGE_SECONDS = 4.5
WORK_SECONDS = 0.2
SERVES_FOR = 2.75  # After its entry has gone: drain_ms and a little longer.

# Of the rule.
STABLE_WINDOW = 3.0
DRAIN_SECONDS = 2.0


class Desk(Worker):
    async def run(self, _start, headers, _body, writer):
        await asyncio.sleep(WORK_SECONDS)
        writer.write(("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + "".join(f"{name}: {value}\r\n" for name, value in self.stamp(headers).items()) + "\r\nok").encode())
        await writer.drain()


async def reads_first(gateway):
    """Whether the gateway says that it reads the store for the fleet."""
    reader, writer = await asyncio.open_connection(gateway.ip, gateway.metrics_port, limit=1 << 20)
    writer.write(f"GET /state HTTP/1.1\r\nHost: {gateway.ip}\r\n\r\n".encode())
    head = await read_head(reader)
    state = json.loads(await reader.readexactly(int(head[1]["content-length"])))
    writer.close()
    return state["readsStoreFirst"]


class Case:
    async def run(self, record, folder, trouble):
        self.record = record
        self.is_over = False
        self.lost = 0
        self.calls = 0
        store = Store()
        await store.start()
        routes = [route("r-issue", "/issue/", "non_idempotent", "credit-desk", 800)]
        store.put("keyed.op", "config", document(1, routes, ["credit-desk"]))
        workers = [Desk(f"i-{number}", "credit-desk") for number in range(WORKERS)]
        for worker in workers:
            await worker.start()
            await worker.register(store)
        ports = free_ports("127.0.0.1", 4)
        gateways = [Gateway(index, "jm-south-a", ports, store.address, folder) for index in range(GATEWAYS)]
        try:
            for gateway in gateways:
                gateway.start()
            for gateway in gateways:
                await gateway.wait_until_ready()
            await asyncio.sleep(STABLE_WINDOW + 1)
            late = 0
            for number in range(ROUNDS):
                late += await self.play_round(store, gateways, workers.pop(0), trouble)
                if late:
                    break
                workers.append(Desk(f"i-{WORKERS + number}", "credit-desk"))
                await workers[-1].start()
                await workers[-1].register(store)
        finally:
            for gateway in gateways:
                gateway.stop()
        text = f"{late} requests reached a worker later than {DRAIN_SECONDS} s after its entry was gone; {self.lost} calls were cut off when it exited"
        record.write(text)
        print(text)
        return bool(late)

    async def play_round(self, store, gateways, leaving, trouble):
        record = self.record
        if trouble:
            store.is_silent = True
            record.write("the store is silent")
        await asyncio.sleep(OUTAGE_SECONDS)
        if trouble:
            store.is_silent = False
            store.drop_channels()
            record.write("the store answers again")
        await asyncio.sleep(STABLE_WINDOW + 2)
        first = [gateway for gateway in gateways if await reads_first(gateway)]
        others = [gateway for gateway in gateways if gateway not in first[:1]]
        self.is_over = False
        calls = asyncio.create_task(self.send_calls(others))
        await asyncio.sleep(1)
        if trouble and first:
            first[0].process.send_signal(signal.SIGKILL)
            first[0].process.wait()
            record.write(f"{first[0].name}, which reads the store first, is killed")
        leaving.check_ins.cancel()
        store.put("keyed.servers", leaving.instance_id, None)
        gone_at = time.monotonic()
        record.write(f"the entry of {leaving.instance_id} is gone")
        await asyncio.sleep(SERVES_FOR)
        leaving.exit()
        record.write(f"{leaving.instance_id} exits")
        await asyncio.sleep(1)
        self.is_over = True
        await calls
        if trouble and first:
            first[0].start()
            await first[0].wait_until_ready()
            record.write(f"{first[0].name} is back")
        late = [(at, request_id) for at, request_id in leaving.runs if at > gone_at + DRAIN_SECONDS]
        for at, request_id in late:
            record.write(f"{request_id} reached {leaving.instance_id} {at - gone_at:.2f} s after its entry was gone", at)
        return len(late)

    async def send_calls(self, gateways):
        draw = random.Random(27)
        tasks = []
        while not self.is_over:
            await asyncio.sleep(draw.expovariate(CALLS_PER_S))
            tasks.append(asyncio.create_task(self.send(draw.choice(gateways))))
        await asyncio.gather(*tasks)

    async def send(self, gateway):
        self.calls += 1
        request_id = f"issue-{self.calls:04x}"
        self.record.write(f"{request_id} is sent to {gateway.name}")
        answer = await request(gateway, request_id, "/issue/2f", limit_ms=1500)
        self.lost += answer.status == 502
        self.record.write(f"{request_id} ends after {answer.seconds:.2f} s with {answer.status or 'no answer'}")


if __name__ == "__main__":
    sys.exit(run_case(Case().run, FOLDER))
