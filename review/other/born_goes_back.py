"""Not one of the five cases (LOST): it takes two disruptions at once.

A worker goes down and up by turns (srv_flap, period 1.4 s) while the time of
day of its machine is 2 s ahead and then right again (clock_step). The last life
has an earlier `born` than the one before.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from site_lite import BOUNDS, main  # noqa: E402

WORKERS = 11
LABELS = {n: ["b" if n == 0 else "a", f"r{n % 3}-{n // 3}"] for n in range(WORKERS)}
PERIOD_S, TURNS, JUMP_S = 1.4, 3, 2.0
JOBS, GAP_S, WORK_S, LOOK_S = 20, 0.25, 0.5, 6.0


async def scenario(site, trouble):
    worker = site.workers[0]
    if trouble:
        worker.clock_ahead_s = JUMP_S
        for turn in range(TURNS):
            worker.crash(PERIOD_S / 2)
            if turn == TURNS - 1:
                worker.clock_ahead_s = 0.0
            await asyncio.sleep(PERIOD_S)
            site.record(f"{worker.name} was born at {worker.born}")
    step = {"count": 2, "cpu": 240, "mem_mb": 480, "estimate_ms": int(WORK_S * 1000),
            "requires": "b", "work_s": WORK_S}
    jobs = []
    for _ in range(JOBS):
        jobs.append(await site.submit([step]))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(BOUNDS["finish_s"] + LOOK_S)
    begun = {run.job for run in site.cluster.runs}
    return [f"{job} is {await site.state(job)} and has not begun"
            for job in jobs if job not in begun]


sys.exit(main(Path(tempfile.mkdtemp()), scenario, workers=WORKERS, labels=LABELS))
