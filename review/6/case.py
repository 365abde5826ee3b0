"""The capacity of workers shrinks and grows while jobs come; tasks are started a
second time while their first run still works.

Answers of the workers take up to 50 ms and so overtake each other, with and without
trouble. SEED picks how long each takes and when capacity changes.
"""

import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness-2"))
from deployment import BROKEN, HELD, TROUBLE, Deployment, main  # noqa: E402

WORKERS, CORES = 5, 8
DISTURBED = 2
SHRUNK = 2000  # Millicores.
SHRINKS_AFTER_SECONDS, SHRUNK_FOR_SECONDS = (0.02, 0.12), 0.5
MOST_ANSWER_SECONDS = 0.05
TRAFFIC_SECONDS = 40
JOB = [{"count": 12, "cpu": 400, "s": 0.6}]
JOB_INTERVAL_SECONDS = 1.0
SEED = int(os.environ.get("SEED", "1"))


def answer_after_a_while(seed):
    """@returns a filter for the answers of a worker, which delays them."""
    rng = random.Random(seed)

    def delay(path, body):
        time.sleep(rng.uniform(0, MOST_ANSWER_SECONDS))
        return False

    return delay


def change_capacity(worker, rng):
    """Shrinks just after new work has come, and grows again."""
    time.sleep(rng.uniform(*SHRINKS_AFTER_SECONDS))
    worker.set_capacity(SHRUNK)
    time.sleep(SHRUNK_FOR_SECONDS)
    worker.set_capacity(CORES * 1000)


def overlaps(runs):
    """@returns pairs of runs of one task that ran at the same time."""
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    found = []
    for same in by_task.values():
        same.sort(key=lambda run: run.begun)
        found += [(first, second) for first, second in zip(same, same[1:])
                  if first.ended is None or second.begun < first.ended]
    return found


def play():
    with Deployment(workers=WORKERS, cores=CORES) as site:
        until = time.monotonic() + TRAFFIC_SECONDS
        site.record(f"seed {SEED}")
        for number, worker in enumerate(site.workers):
            worker.lose = answer_after_a_while(SEED * 100 + number)
        rng = random.Random(SEED)
        jobs = []
        while time.monotonic() < until:
            jobs.append(site.submit(JOB))
            if TROUBLE:
                for worker in site.workers[:DISTURBED]:
                    threading.Thread(target=change_capacity, daemon=True,
                                     args=(worker, rng)).start()
            time.sleep(JOB_INTERVAL_SECONDS)
        site.record("end of the traffic")
        time.sleep(8)
        twice = overlaps(site.runs_of(""))
        for first, second in twice:
            text = (f"TWICE: {first.task}: run {first.number} on {first.worker.name} was at "
                    f"work until {(first.ended or time.monotonic()) - second.begun:.3f} s after "
                    f"run {second.number} had begun on {second.worker.name}; they ended "
                    f"{first.how} and {second.how}")
            site.record(text)
            print(text)
        result = (f"{len(twice)} pairs of runs of one task overlap, of {len(jobs)} jobs with "
                  f"{len(site.runs_of(''))} runs")
        site.record(result)
        print(result)
        return BROKEN if twice else HELD


main(play)
