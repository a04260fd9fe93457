"""A config that replaces a queue by another one at the same address."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from kit2.deployment import BOUNDS  # noqa: E402
from kit2.deployment import CannotRun  # noqa: E402
from kit2.deployment import Deployment  # noqa: E402
from kit2.deployment import route  # noqa: E402
from kit2.deployment import run_case  # noqa: E402

JOB = "36f85c0e7a21d94b"
STEPS = 25
CANCEL_S = BOUNDS["cancel_ms"] / 1000
VISIBLE_S = BOUNDS["visible_ms"] / 1000
APPLY_S = BOUNDS["ConfigApplyMs"] / 1000


async def scenario(record, trouble):
    kept = route("watches", "/watches/")
    cell = Deployment(record, routes=[kept, route("quotes", "/quotes/")])
    try:
        await cell.start()
        for worker in cell.workers.values():
            worker.plan = lambda task, run, spec: (1.0, "done")
        status, _ = await cell.request(
            cell.entries[0], "POST", f"/quotes/{JOB}", job(STEPS)
        )
        if status != 200:
            raise CannotRun(f"the submission got {status}")
        await asyncio.sleep(VISIBLE_S + 1.0)
        if trouble:
            cell.put_config(8, [kept, route("spot-quotes", "/quotes/")])
        await asyncio.sleep(APPLY_S + 1.0)
        # A copy of the request arrives seconds after its 2xx response.
        status, _ = await cell.request(
            cell.entries[0], "POST", f"/quotes/{JOB}", job(STEPS)
        )
        if status != 200:
            return []
        await asyncio.sleep(VISIBLE_S + 0.5)
        broken = []
        for entry in cell.entries:
            status, _ = await cell.request(entry, "GET", f"/quotes/{JOB}")
            if status == 410:
                broken.append(
                    f"LOST: {entry} answers 410 to a GET for an accepted"
                    " submission that nobody has cancelled"
                )
        answered = 0
        while answered not in (200, 410):
            answered, _ = await cell.request(
                cell.entries[0], "DELETE", f"/quotes/{JOB}"
            )
        cancelled_at_s = time.monotonic()
        record("cancelling is acknowledged", status=answered)
        await asyncio.sleep(12)
        late = [
            at_s - cancelled_at_s
            for worker in cell.workers.values()
            for at_s, task, _ in worker.starts
            if task.startswith(JOB) and at_s - cancelled_at_s > CANCEL_S
        ]
        if late:
            broken.append(
                f"UNASKED: {len(late)} tasks start 3 to {max(late):.1f} s after"
                f" the cancelling was acknowledged with {answered}"
            )
        return broken
    finally:
        cell.close()


def job(steps):
    """Return a submission of steps that follow each other."""
    body = [
        {"Count": 1, "Cpu": 960, "MemMb": 64, "EstimateMs": 1000}
        for _ in range(steps)
    ]
    for number in range(1, steps):
        body[number]["DependsOn"] = [number - 1]
    return {"Spec": "quote", "Steps": body}


if __name__ == "__main__":
    run_case(HERE, scenario)
