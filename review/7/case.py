"""A config that sends a queue to another service while submissions wait."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from kit2.deployment import BOUNDS  # noqa: E402
from kit2.deployment import CannotRun  # noqa: E402
from kit2.deployment import Deployment  # noqa: E402
from kit2.deployment import route  # noqa: E402
from kit2.deployment import run_case  # noqa: E402

NEW_SERVICE = "quote-desk"
WATCH = "f85c0e7a21d94b36"
WAITING = [f"{number:016x}" for number in range(1, 6)]
LATER = f"{99:016x}"
APPLY_S = BOUNDS["ConfigApplyMs"] / 1000
FINISH_S = BOUNDS["finish_s"]
IDLE_S = 3.0


async def scenario(record, trouble):
    watches = route("watches", "/watches/")
    services = {"side-4": NEW_SERVICE, "side-5": NEW_SERVICE}
    cell = Deployment(
        record,
        vms=5,
        routes=[watches, route("quotes", "/quotes/")],
        services=services,
    )
    try:
        await cell.start()
        for worker in cell.workers.values():
            worker.plan = plan
            worker.size = size
        new = [cell.workers[name] for name in services]
        # Tasks that last take up the first service's three workers.
        step = {"Count": 3, "Cpu": 60_000, "MemMb": 1000, "Persistent": True}
        await submit(cell, f"/watches/{WATCH}", step)
        await asyncio.sleep(3)
        if sum(len(w.running) for w in cell.workers.values()) != 3:
            raise CannotRun("the tasks that last don't run")
        step = {"Count": 2, "Cpu": 8000, "MemMb": 1000, "EstimateMs": 1000}
        for job in WAITING:
            await submit(cell, f"/quotes/{job}", step)
        await asyncio.sleep(3)
        if trouble:
            moved = route("quotes", "/quotes/", Service=NEW_SERVICE)
            cell.put_config(8, [watches, moved])
            await asyncio.sleep(APPLY_S + 1.0)
            await submit(cell, f"/quotes/{LATER}", step)
        await asyncio.sleep(FINISH_S)
        record("finish_s after the end of the traffic")
        used = 0
        started = set()
        for _ in range(int(IDLE_S / 0.1)):
            for worker in cell.workers.values():
                started |= {task.split(".")[0] for _, task, _ in worker.starts}
            used = max(used, sum(len(w.running) for w in new))
            await asyncio.sleep(0.1)
        states = {}
        for job in (*WAITING, LATER):
            states[job] = await cell.request(
                cell.entries[1], "GET", f"/quotes/{job}"
            )
        record("submissions that were started", jobs=sorted(started))
        if not trouble:
            # The service of the queue is in use by more than nine tenths.
            return []
        if LATER not in started:
            raise CannotRun("the new service runs nothing")
        waiting = [job for job in WAITING if job not in started]
        if waiting and not used:
            return [
                f"LOST: {len(waiting)} accepted submissions have never started"
                f" for {APPLY_S + 1 + FINISH_S + IDLE_S:.1f} s after their queue"
                " was sent to a service without load, where a later one ran"
            ]
        return []
    finally:
        cell.close()


async def submit(cell, path, step):
    """Submit a job of one step, which has to be accepted."""
    status, _ = await cell.request(
        cell.entries[0], "POST", path, {"Spec": "job", "Steps": [step]}
    )
    if status != 200:
        raise CannotRun(f"{path} got {status}")


def plan(task, run, spec):
    """Return how long a run works, and how it ends."""
    return (float("inf") if task.startswith(WATCH) else 1.0), "done"


def size(task):
    """Return the room of a task in thousandths of a core."""
    return 60_000 if task.startswith(WATCH) else 8000


if __name__ == "__main__":
    run_case(HERE, scenario)
