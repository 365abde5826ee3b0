"""Not one of the five cases (MIXED): jobs that have not begun are not counted.

The only worker that jobs may use answers their starts with 503 for 6.5 s.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from site_lite import BOUNDS, main  # noqa: E402

WORKERS, JOBS, UNHEALTHY_S = 11, 4, 6.5
SHOWN_AFTER_S = BOUNDS["visible_ms"] / 1000 + 2.0
LABELS = {n: ["a", f"r{n % 3}-{n // 3}"] for n in range(WORKERS - 1)}
LABELS[WORKERS - 1] = ["b", "r1-3"]


async def scenario(site, trouble):
    worker = site.workers[WORKERS - 1]
    step = {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 500, "requires": "b",
            "work_s": 0.5}
    worker.unhealthy = trouble
    unhealthy_until = time.monotonic() + UNHEALTHY_S
    site.record(f"{worker.name} refuses starts: {trouble}")
    jobs = []
    for _ in range(JOBS):
        jobs.append((await site.submit([step]), time.monotonic()))
    broken = []
    while time.monotonic() < unhealthy_until:
        for number, entry in enumerate(site.entries):
            asked = time.monotonic()
            status, answer = await site.ask("GET", "", number)
            begun = {run.job for run in site.cluster.runs}
            due = sum(job not in begun and asked - accepted > SHOWN_AFTER_S
                      for job, accepted in jobs)
            site.record(f"GET {entry.name}: {status} {answer}; {due} jobs were accepted more "
                        f"than {SHOWN_AFTER_S} s ago and have not begun")
            if status == 200 and answer["waiting"] < due / 2:
                broken.append(f"{entry.name} gives {answer['waiting']} waiting jobs of {due} "
                              f"at {site.now():.3f}")
        await asyncio.sleep(0.2)
    site.record(f"{worker.name} has refused {worker.refused} starts")
    worker.unhealthy = False
    until = time.monotonic() + 15
    while time.monotonic() < until:
        if all([await site.state(job) == "completed" for job, _ in jobs]):
            break
        await asyncio.sleep(0.5)
    return broken


sys.exit(main(Path(tempfile.mkdtemp()), scenario, workers=WORKERS, labels=LABELS))
