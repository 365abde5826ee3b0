"""A large job whose starts for one host exceed 1 MiB never runs, and the host
that it was placed on loses what runs there."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "harness-2"))
from deployment import BOUNDS, BROKEN, HELD, TROUBLE, Deployment, main  # noqa: E402

SPEC_BYTES = 4000
LARGE = [{"count": 300, "cpu": 50, "mem_mb": 16, "s": 1.0}]
SMALL = [{"count": 4, "cpu": 500, "s": 1.0}]
LASTING = [{"count": 3, "cpu": 200, "s": 0, "end": "lasts", "perpetual": True,
            "anti_affinity": 1}]
IDLE_SECONDS = 3
SAMPLE_SECONDS = 0.05


def longest_idle_span(site, job):
    """@returns for how long on end nothing of the job ran, though there was room
    for all its tasks twice over and under half of the service's capacity was in
    use."""
    longest, since = 0, None
    until = time.monotonic() + 3 * IDLE_SECONDS
    while time.monotonic() < until:
        now = time.monotonic()
        done = sum(run.how == "done" for run in site.runs_of(job))
        idle = (done < LARGE[0]["count"] and not site.running_of(job)
                and site.room(LARGE[0]["cpu"]) >= 2 * LARGE[0]["count"]
                and site.share_in_use() < 0.5)
        since = (since or now) if idle else None
        longest = max(longest, now - since if since else 0)
        time.sleep(SAMPLE_SECONDS)
    return longest


def play():
    with Deployment(workers=3, cores=32) as site:
        lasting = site.submit(LASTING)
        site.wait("the lasting tasks run",
                  lambda: len(site.running_of(lasting)) == LASTING[0]["count"])
        jobs = []
        large = None
        for number in range(10):
            jobs.append(site.submit(SMALL))
            if TROUBLE and number == 5:
                large = site.submit(LARGE, spec_bytes=SPEC_BYTES)
            time.sleep(0.5)
        site.record("end of the traffic")
        time.sleep(BOUNDS["finish_s"])
        states = [site.state(job, log=True) for job in jobs]
        lapsed = [run for run in site.runs_of("") if run.how == "lapsed"]
        span = longest_idle_span(site, large) if large else 0
        result = (f"{BOUNDS['finish_s']} s after the end of the traffic "
                  f"{states.count('completed')} of {len(jobs)} small jobs are completed; "
                  f"runs that lapsed: {[run.task for run in lapsed]}")
        if large:
            result += (f"; the large job is {site.state(large, log=True)} and has "
                       f"{len(site.runs_of(large))} starts; longest span in which nothing of it "
                       f"ran beside free capacity: {span:.1f} s")
        site.record(result)
        print(result)
        return BROKEN if span >= IDLE_SECONDS else HELD


main(play)
