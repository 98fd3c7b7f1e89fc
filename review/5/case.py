"""A worker pauses in streams for less time than requesters wait, while the others are full. Meanwhile one VM is stopped, as planned."""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from outside import Gateway, Store, StreamingWorker, document, free_ports, request, response, route, run_case

GATEWAYS = 3
STREAMS_PER_S = 8.0
PAUSE_SECONDS = 1.7  # Requesters wait for two seconds at least.
WORKERS = 3

# Of the rule.
STABLE_WINDOW = 3.0
GRACE_SECONDS = 8.0


class PausingWorker(StreamingWorker):
    """Preempts every second stream after its third event, and goes on with it when its prompt has been read again. Rejects requests while it is full."""

    pauses = False
    is_full = False

    async def run(self, _start, headers, _body, writer):
        if self.is_full:
            writer.write(response(503, headers={"X-Not-Executed": "1", "X-Request-Id": headers["x-request-id"]}))
            await writer.drain()
            return
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **self.stamp(headers)}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode())
        is_preempted = self.pauses and len(self.runs) % 2 == 0
        for number in range(int(headers.get("last-event-id", -1)) + 1, self.EVENTS):
            await asyncio.sleep(PAUSE_SECONDS if is_preempted and number == 3 else self.EVENT_SECONDS)
            event = f"id: {number}\ndata: {headers.get('x-request-id')} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Case:
    async def run(self, record, folder, trouble):
        self.record = record
        self.answers = []
        store = Store()
        await store.start()
        routes = [route("r-check", "/check/", "streaming", "doc-reader", 10000, max_attempts=2, sticky=True, resumable=True)]
        store.put("keyed.op", "config", document(1, routes, ["doc-reader"], engines=["doc-reader"]))
        workers = [PausingWorker(f"i-7f3a91c{number}", "doc-reader") for number in range(WORKERS)]
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
            await asyncio.sleep(STABLE_WINDOW + 0.5)
            for worker in workers[1:]:
                worker.is_full = True
            workers[0].pauses = trouble
            record.write(f"{', '.join(worker.instance_id for worker in workers[1:])} are full")
            await self.send_streams(gateways, gateways[0])
        finally:
            for gateway in gateways:
                gateway.stop()
        cut = [answer for name, answer in self.answers if name == gateways[0].name and answer.status == 200 and not answer.is_whole]
        elsewhere = [answer for name, answer in self.answers if name != gateways[0].name and not answer.is_whole]
        text = (f"{len(cut)} streams at the VM that was stopped ended without a complete answer, {len(elsewhere)} at the others, of {len(self.answers)}; "
                f"whole: {sum(answer.status == 200 and answer.is_whole for _, answer in self.answers)}")
        record.write(text)
        print(text)
        return bool(cut)

    async def send_streams(self, gateways, stopped):
        draw = random.Random(27)
        tasks = []
        began = time.monotonic()
        stop_at = began + 1.5
        # Requests count for the rule if they are sent around the SIGTERM; all of them end long before the last sixth of the grace period.
        while time.monotonic() - began < 3.0:
            await asyncio.sleep(draw.expovariate(STREAMS_PER_S))
            if stop_at and time.monotonic() > stop_at:
                stop_at = None
                stopped.process.send_signal(signal.SIGTERM)
                self.record.write(f"{stopped.name} gets SIGTERM")
            tasks.append(asyncio.create_task(self.send(draw.choice(gateways), len(tasks))))
        await asyncio.gather(*tasks)
        await asyncio.sleep(GRACE_SECONDS)

    async def send(self, gateway, number):
        request_id = f"check-{number:04x}"
        self.record.write(f"{request_id} is sent to {gateway.name}")
        headers = {"X-Model": "m", "X-Token-Usage": "5000,400", "X-Prompt-Prefix": f"5c1e07a2:40,{number:08x}:4960"}
        answer = await request(gateway, request_id, "/check/2f", headers=headers)
        self.answers.append((gateway.name, answer))
        self.record.write(f"{request_id} ends after {answer.seconds:.2f} s with {answer.status}{' whole' if answer.is_whole else ' broken off'}, {answer.body.count(b'data:')} events")


if __name__ == "__main__":
    sys.exit(run_case(Case().run, FOLDER))
