"""A new desired state allows larger requests. Requesters that keep their channels send such requests when the version has long been in force."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from outside import Gateway, KeptChannel, Store, Worker, document, free_ports, route, run_case

GATEWAYS = 3
CHANNELS = 24
ROUNDS = 3
OLD_LIMIT = 4194304
NEW_LIMIT = 8388608
SMALL = b"x" * 600
LARGE = b"x" * 5000000
APPLY_SECONDS = 2.0  # config_apply_ms
STABLE_WINDOW = 3.0


def allowed_refusals(count):
    return 5 + count / 500


class Case:
    async def run(self, record, folder, trouble):
        self.record = record
        self.sent = 0
        store = Store()
        await store.start()
        routes = [route("r-issue", "/issue/", "non_idempotent", "credit-desk", 4000)]
        store.put("keyed.op", "config", document(1, routes, ["credit-desk"], max_body_bytes=OLD_LIMIT if trouble else NEW_LIMIT))
        workers = [Worker(f"i-{number}", "credit-desk") for number in range(3)]
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
            channels = [KeptChannel(gateways[number % GATEWAYS]) for number in range(CHANNELS)]
            statuses = []
            for channel in channels:
                statuses.append(await self.send(channel, SMALL))
            if trouble:
                store.put("keyed.op", "config", document(2, routes, ["credit-desk"], max_body_bytes=NEW_LIMIT))
                record.write(f"version 2 is confirmed: bodies of up to {NEW_LIMIT} bytes instead of {OLD_LIMIT}")
            for _ in range(int(APPLY_SECONDS + 1)):
                await asyncio.sleep(1)
                for channel in channels:
                    statuses.append(await self.send(channel, SMALL))
            for _ in range(ROUNDS):
                for channel in channels:
                    statuses.append(await self.send(channel, LARGE))
        finally:
            for gateway in gateways:
                gateway.stop()
        refused = statuses.count(413)
        text = f"{refused} of {len(statuses)} requests got 413; {allowed_refusals(len(statuses)):.2f} may; {statuses.count(200)} were served"
        record.write(text)
        print(text)
        return refused > allowed_refusals(len(statuses))

    async def send(self, channel, body):
        self.sent += 1
        request_id = f"issue-{self.sent:04x}"
        self.record.write(f"{request_id} with {len(body)} bytes is sent to {channel.gateway.name}")
        status, was_kept = await channel.request(request_id, "/issue/2f", body, 8000)
        self.record.write(f"{request_id} ends with {status or 'no answer'} on a {'kept' if was_kept else 'new'} channel")
        return status


if __name__ == "__main__":
    sys.exit(run_case(Case().run, FOLDER))
