"""A task crashes each worker that starts it, 0.3 s after its start; it is started
again and again, without end.

AFTER gives the time from the start to the crash in seconds.
"""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness-2"))
from deployment import BROKEN, HELD, TROUBLE, Deployment, main  # noqa: E402

WORKERS = 5
DEADLY = [{"count": 1, "cpu": 500, "s": float(os.environ.get("AFTER", "0.3")),
           "end": "crash"}]
SOUND = [{"count": 2, "cpu": 500, "s": 2.0}]
TRAFFIC_SECONDS = 25
# "started three times more ... after three workers have crashed under it"
CRASHES, MOST_MORE_STARTS = 3, 2


def play():
    with Deployment(workers=WORKERS, cores=4) as site:
        deadly = site.submit(DEADLY) if TROUBLE else None
        jobs = []
        until = time.monotonic() + TRAFFIC_SECONDS
        while time.monotonic() < until:
            jobs.append(site.submit(SOUND))
            time.sleep(0.5)
        site.record("end of the traffic")
        time.sleep(14)
        runs = sorted(site.runs_of(deadly), key=lambda run: run.begun) if deadly else []
        crashes, more = 0, 0
        for run in runs:
            more += crashes >= CRASHES
            crashes += run.crashed_worker
        ended = [run for run in site.runs_of("") if run.how == "crashed"
                 and not run.crashed_worker]
        states = [site.state(job, log=True) for job in jobs]
        result = (f"the deadly task: {len(runs)} starts, {crashes} workers crashed under it, "
                  f"{more} starts after {CRASHES} crashes"
                  + (f", its job is {site.state(deadly, log=True)}" if deadly else "")
                  + f"; {len(ended)} runs of other jobs ended by these crashes; "
                  f"{states.count('completed')} of {len(jobs)} other jobs are completed")
        site.record(result)
        print(result)
        return BROKEN if more > MOST_MORE_STARTS else HELD


main(play)
