"""All gateways are killed and started again, some times, while a part crashes workers."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stage2

WORKERS = 14
RESTARTS_AT_S = (20.0, 42.0, 64.0)
DOWN_S = 1.0
RUN_S = 86.0
SOUND_A_SECOND = 15.0
DEADLY_A_SECOND = 0.3
ALLOWED = 3


class DeadlyWorker(stage2.CrashingWorker):
    IS_DEADLY = True  # With TROUBLE=0 too: that leaves out the restarts.


async def play(stage):
    stage.deadly_part = "f865479789ec"
    stage.publish([stage2.STREAM_ROUTE], [stage2.READER_SERVICE], stage2.TENANTS)
    for number in range(WORKERS):
        worker = DeadlyWorker(stage, f"i-reader-{number:02d}", "reader")
        stage.workers.append(worker)
        await worker.begin()
    await stage.start_gateways()
    await asyncio.sleep(stage2.STABLE_WINDOW_S)
    tasks = []
    outcomes = []
    returns = []
    begin = time.monotonic()

    async def ask(number, is_deadly):
        parts = f"a0:40,{stage.deadly_part}:900,{number:x}:500" if is_deadly else f"a0:40,{number:x}:500"
        fields = {"X-Credential": "key-acme", "X-Deadline-Ms": "10000", "X-Model": "m", "X-Token-Usage": "2000,100", "X-Prompt-Prefix": parts}
        status, _fields, _body, whole = await stage.ask_once(number, ("d" if is_deadly else "s") + f"{number:06d}", "POST", "/check/x", fields, b"prompt")
        outcomes.append((is_deadly, status if whole else 0))

    async def traffic(is_deadly, per_second):
        rng = random.Random(10 + is_deadly)
        number = 0
        while time.monotonic() < begin + RUN_S:
            await asyncio.sleep(rng.expovariate(per_second))
            number += 1
            tasks.append(asyncio.ensure_future(ask(number * 2 + is_deadly, is_deadly)))

    async def restarts():
        for at in RESTARTS_AT_S if stage2.TROUBLE else ():
            await asyncio.sleep(begin + at - time.monotonic())
            await stage.kill_all(DOWN_S)
            returns.append(time.monotonic())

    await asyncio.gather(traffic(False, SOUND_A_SECOND), traffic(True, DEADLY_A_SECOND), restarts())
    await asyncio.gather(*tasks)
    sound = [status for is_deadly, status in outcomes if not is_deadly]
    print(f"{len(stage.crashes)} crashes; {sound.count(200)} of {len(sound)} sound requests served")
    if len(stage.crashes) < 5:
        return []
    fifth = stage.crashes[4]
    late = []
    for at, identifier, _worker in stage.arrivals:
        is_in_touch = all(not -DOWN_S <= at - back <= stage2.STABLE_WINDOW_S for back in returns)
        if identifier.startswith("d") and at > fifth + stage2.STABLE_WINDOW_S and is_in_touch:
            late.append((at - begin, identifier))
    print(f"{len(late)} requests with the part reach workers later than {stage2.STABLE_WINDOW_S} s after the fifth crash, from gateways in touch")
    if len(late) <= ALLOWED:
        return []
    return [f"BUDGET: {identifier} reaches a worker at {at:.2f} s, {at + begin - fifth:.2f} s after the fifth crash" for at, identifier in late]


stage2.main(pathlib.Path(__file__).resolve().parent, play)
