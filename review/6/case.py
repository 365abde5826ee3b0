"""The owner is killed while more than 500 tasks end on one worker; the next owner
starts those again whose ends are not among the first 500 that the worker lists."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness-2"))
from deployment import BROKEN, HELD, TROUBLE, Deployment, main  # noqa: E402

WORKERS, CORES = 2, 32
JOBS = 13
SECONDS = 6.0  # Of work in each task.
JOB = [{"count": 50, "cpu": 45, "mem_mb": 16, "s": SECONDS}]
DOWN_SECONDS = 3.5


def starts_after_done(runs):
    """@returns pairs of runs of one task, the second started after the first had
    ended `done`, whose end was taken note of without a lapse of the lease."""
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    found = []
    for same in by_task.values():
        same.sort(key=lambda run: run.begun)
        for first, second in zip(same, same[1:]):
            lapsed = first.noted is None or any(
                first.ended < at < first.noted for at in first.worker.lapses)
            if first.how == "done" and second.begun > first.ended and not lapsed:
                found.append((first, second))
    return found


def play():
    with Deployment(workers=WORKERS, cores=CORES) as site:
        jobs = []
        for _ in range(JOBS):
            jobs.append(site.submit(JOB))
            time.sleep(0.12)
        tasks = JOBS * JOB[0]["count"]
        site.wait("all tasks run", lambda: len(site.running_of("")) == tasks, SECONDS - 2)
        runs = [run for run in site.runs_of("") if run.ended is None]
        on_worker = {worker.name: sum(run.worker is worker for run in runs)
                     for worker in site.workers}
        site.record(f"running: {on_worker}")
        time.sleep(max(0, min(run.begun for run in runs) + SECONDS - 0.3 - time.monotonic()))
        if TROUBLE:
            owner = site.owner()
            owner.kill()
            time.sleep(DOWN_SECONDS)
            owner.start()
        site.wait("the jobs are completed",
                  lambda: all(site.state(job) == "completed" for job in jobs), 40)
        time.sleep(5)
        twice = starts_after_done(site.runs_of(""))
        for first, second in twice:
            site.record(f"TWICE: {first.task}: run {second.number} began on "
                        f"{second.worker.name} {second.begun - first.ended:.3f} s after run "
                        f"{first.number} had ended done on {first.worker.name}; that end was "
                        f"taken note of {first.noted - first.ended:.3f} s after it; run "
                        f"{second.number} ended {second.how}")
        result = (f"{tasks} tasks ({on_worker}), {len(site.runs_of(''))} starts, "
                  f"{len(twice)} of them after a run of the task had ended done")
        site.record(result)
        print(result)
        return BROKEN if twice else HELD


main(play)
