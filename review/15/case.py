"""A queue whose adviser takes a little over two seconds for an answer."""

from __future__ import annotations

import asyncio
import pathlib

from adviser import Adviser
from deployment import config
from deployment import Deployment
from deployment import run
from store import Store
from worker import Worker

FOLDER = pathlib.Path(__file__).parent
VMS = 4
# 2.2 s for the four workers; without the disruption 0.3 s.
SLOW = {"DecideMs": 1000, "PerWorkerMs": 300, "ValidityMs": 30_000}
USUAL = {"DecideMs": 100, "PerWorkerMs": 50, "ValidityMs": 30_000}
STEP = {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimateMs": 500}
RUN_S = 0.5
INTERVAL_S = 4.0
JOBS = 8
FINISH_S = 14.0
IDLE_S = 3.0


def job_of(task):
    return task.partition(".")[0]


async def main(record, trouble):
    deployment = Deployment(2, VMS, record)
    deployment.adviser_address = f"{deployment.subnet}.2:8169"
    rules = SLOW if trouble else USUAL
    accepted = {}
    done = {}
    started_s = {}

    def note(what, **fields):
        record.note(what, **fields)
        job = job_of(fields["task"])
        if what == "start":
            started_s.setdefault(job, record.now_s())
        elif fields["how"] == "done":
            done[job] = done.get(job, 0) + 1

    store = Store()
    await store.start(deployment.store_address)
    store.put("keyed.op", "config", config(Advisor=rules))
    adviser = Adviser(rules, lambda step, worker: True, record.note)
    await adviser.start(deployment.adviser_address)
    workers = [
        Worker(
            f"i-{name}", "bulletin-desk", deployment.app(name),
            deployment.control(name), rack=f"r1-{number}", note=note,
            duration_s=lambda task: RUN_S,
        )
        for number, name in enumerate(deployment.vms)
    ]
    sending = []

    async def submit(job, number):
        body = {"Spec": f"spec of {job}", "Steps": [STEP]}
        for attempt in range(4):
            entry = deployment.entries[(number + attempt) % 2]
            status, _ = await deployment.ask(
                entry, "POST", f"/sheets/{job}", body
            )
            if status == 200:
                accepted[job] = record.now_s()
                return

    try:
        deployment.start()
        for worker in workers:
            await worker.start()
        await deployment.wait_ready()
        await asyncio.sleep(2.0)
        for number in range(JOBS):
            job = f"2b{number:014x}"
            sending.append(asyncio.ensure_future(submit(job, number)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*sending)
        record.say(f"end of the traffic: {len(accepted)} submissions accepted")
        await asyncio.sleep(FINISH_S)
        # All workers are allowed for these, and next to nothing is in use.
        waiting = [
            job for job in accepted if done.get(job, 0) < STEP["Count"]
        ]
        starts = {job: started_s.get(job) for job in waiting}
        idle = set(waiting)
        until_s = record.now_s() + IDLE_S
        while record.now_s() < until_s:
            for worker in workers:
                idle -= {job_of(task) for task in worker.runs}
            await asyncio.sleep(0.02)
        idle = sorted(
            job for job in idle
            if started_s.get(job) == starts[job]
            and done.get(job, 0) < STEP["Count"]
        )
        states = {}
        for job in idle:
            status, answer = await deployment.ask(
                deployment.entries[0], "GET", f"/sheets/{job}"
            )
            states[job] = answer["State"] if status == 200 else status
        waits = [
            started_s[job] - accepted[job]
            for job in accepted if job in started_s
        ]
        record.say(
            f"of {len(accepted)} submissions {len(waits)} have begun, at the"
            f" latest after {max(waits, default=0):.1f} s"
        )
        if idle:
            record.say(
                f"BROKEN LOST: {len(idle)} accepted submissions have nothing"
                f" running {FINISH_S + IDLE_S:.0f} s after the traffic, with"
                f" free workers that are allowed: {states}"
            )
            return 1
        record.say("LOST held")
        return 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    run(main, FOLDER)
