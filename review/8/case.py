"""One job of lasting tasks that all fail; the site's other jobs never run."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness-2"))
from deployment import BOUNDS, BROKEN, HELD, TROUBLE, Deployment, main  # noqa: E402

HOPELESS = [{"count": 6, "cpu": 2000, "s": 0.1, "end": "failed", "perpetual": True}]
SOUND = [{"count": 1, "cpu": 3000, "s": 0.5}]
SOUND_JOBS = 19  # With the hopeless one 20, so that it is a share of 0.05.
IDLE_SECONDS = 3
SAMPLE_SECONDS = 0.05


def longest_idle_span(site, jobs):
    """@returns for how long on end no task of the jobs ran, though their turn had
    come, there was room for one of them twice over, and under half of the
    service's capacity was in use."""
    longest, since = 0, None
    until = time.monotonic() + 3 * IDLE_SECONDS
    while time.monotonic() < until:
        now = time.monotonic()
        left = any(not any(run.how == "done" for run in site.runs_of(job)) for job in jobs)
        idle = (left and not any(site.running_of(job) for job in jobs)
                and site.room(SOUND[0]["cpu"]) >= 2 and site.share_in_use() < 0.5)
        since = (since or now) if idle else None
        longest = max(longest, now - since if since else 0)
        time.sleep(SAMPLE_SECONDS)
    return longest


def play():
    with Deployment(workers=3, cores=4) as site:
        if TROUBLE:
            site.submit(HOPELESS)
        time.sleep(1)
        jobs = []
        for _ in range(SOUND_JOBS):
            jobs.append(site.submit(SOUND))
            time.sleep(0.1)
        site.record("end of the traffic")
        time.sleep(BOUNDS["finish_s"])
        states = [site.state(job, log=True) for job in jobs]
        span = longest_idle_span(site, jobs)
        never_ran = sum(not site.runs_of(job) for job in jobs)
        result = (f"{BOUNDS['finish_s']} s after the end of the traffic "
                  f"{states.count('completed')} of {len(jobs)} jobs are completed, "
                  f"{never_ran} never ran; longest span in which nothing ran beside "
                  f"free capacity: {span:.1f} s")
        site.record(result)
        print(result)
        return BROKEN if span >= IDLE_SECONDS else HELD


main(play)
