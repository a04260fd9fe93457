"""A cancellation that is answered 410 while the submission is still stored."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from kit2.deployment import BOUNDS  # noqa: E402
from kit2.deployment import Deployment  # noqa: E402
from kit2.deployment import run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
# Writes are executed 1 to 6 s late; a third of them at most.
LATE_S = 5.5
# The last disturbance is over for this long when a start counts.
CONTACT_S = BOUNDS["ContactMs"] / 1000
CANCEL_S = BOUNDS["cancel_ms"] / 1000
STOP_S = BOUNDS["StopTimeoutMs"] / 1000
STEPS = 6


async def scenario(record, trouble):
    cell = Deployment(record)
    try:
        await cell.start()
        for worker in cell.workers.values():
            worker.plan = lambda task, run, spec: (2.0, "done")
        # Other consumers' submissions, whose writes are answered.
        for number in range(6):
            await cell.request(
                cell.entries[number % 3],
                "POST",
                f"/quotes/{number:016x}",
                job(1),
            )
        loses_from_s = time.monotonic()
        stored_at_s = []

        def late_s(topic, keys):
            if f"s:{JOB}" not in keys:
                return None
            stored_at_s.append(time.monotonic() + LATE_S)
            return LATE_S

        if trouble:
            cell.store.late_s = late_s
        others = asyncio.ensure_future(send_others(cell))
        appends = cell.store.appends
        status, _ = await cell.request(
            cell.entries[0], "POST", f"/quotes/{JOB}", job(STEPS)
        )
        cell.store.late_s = lambda topic, keys: None
        answered = 0
        while answered not in (200, 410):
            answered, _ = await cell.request(
                cell.entries[0], "DELETE", f"/quotes/{JOB}"
            )
        cancelled_at_s = time.monotonic()
        record(
            "cancelling is acknowledged",
            status=answered,
            submission_got=status,
            writes_lost=cell.store.lost_appends,
            writes_meanwhile=cell.store.appends - appends,
            lost_for_s=round(cancelled_at_s - loses_from_s, 1),
        )
        await asyncio.sleep(30)
        others.cancel()
        state = await cell.request(cell.entries[1], "GET", f"/quotes/{JOB}")
        disturbed_until_s = max(stored_at_s, default=cancelled_at_s)
        steady_s = disturbed_until_s + CONTACT_S
        broken = []
        for worker in cell.workers.values():
            for at_s, task, run in worker.starts:
                if not task.startswith(JOB):
                    continue
                after_s = at_s - cancelled_at_s
                if after_s > CANCEL_S and at_s > steady_s:
                    broken.append(
                        f"UNASKED: {task} run {run} starts {after_s:.1f} s after"
                        f" the cancelling was acknowledged with {answered}"
                    )
            for at_s, task, run, how in worker.ends_log:
                over_s = at_s - cancelled_at_s - CANCEL_S - STOP_S
                if task.startswith(JOB) and over_s > 0 and at_s > steady_s:
                    record(
                        "runs on", task=task, run=run, over_s=round(over_s, 1)
                    )
        record("state at the end", state=state)
        return broken
    finally:
        cell.close()


async def send_others(cell):
    number = 100
    while True:
        await asyncio.sleep(0.4)
        number += 1
        await cell.request(
            cell.entries[number % 3], "POST", f"/quotes/{number:016x}", job(1)
        )


def job(steps):
    """Return a submission of steps that follow each other."""
    body = [
        {"Count": 1, "Cpu": 960, "MemMb": 64, "EstimateMs": 2000}
        for _ in range(steps)
    ]
    for number in range(1, steps):
        body[number]["DependsOn"] = [number - 1]
    return {"Spec": "quote", "Steps": body}


if __name__ == "__main__":
    run_case(HERE, scenario)
